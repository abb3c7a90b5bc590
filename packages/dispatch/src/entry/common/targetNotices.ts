/** Drain notices, Retry-After times and rate limits that targets sent in their responses. */
import type { Clock } from '@parsleymux/base';
import type { ITargetResponse } from '@parsleymux/routing';
import { findHeader } from '@parsleymux/routing';
import type { ITargetRecord, IAdvertisedLimit } from '@parsleymux/scheduling';
import { formatIncarnation } from '@parsleymux/scheduling';
import { parseRetryAfterMs } from './retryAfter.js';

const RETRY_AFTER = 'retry-after';
/** Longest Retry-After that is honored, in ms: an erroneous value would waste the target's capacity. */
const MAX_RETRY_AFTER_MS = 600_000;
/** Incarnations that are remembered, more than a fleet has; the oldest are evicted first. */
const MAX_INCARNATIONS = 4096;

interface INotice {
  isDraining: boolean;
  /** Limit for all nodes together, in requests per second, and when it was last advertised. */
  limit: { readonly ratePerS: number; readonly atMs: number } | undefined;
  /** When the target may receive requests again, in ms of the monotonic clock. */
  waitUntilMs: number;
}

/**
 * Remembers the notices of targets. While the store is unavailable, a draining target reports this in its
 * responses seconds before the target list shows it. An overloaded target may send a Retry-After, or a rate
 * limit for all nodes together. Without these notices, a node would keep sending requests that are cut off
 * or shed again. A notice is valid for one incarnation of the target.
 *
 * @example
 * notices.record(target, response);
 * if (notices.isExcluded(target)) choose another one;
 */
export class TargetNotices {
  private readonly notices = new Map<string, INotice>();

  constructor(private readonly clock: Clock) {}

  /** Records the notices in a complete response of the target itself. */
  record(target: ITargetRecord, response: ITargetResponse): void {
    const waitMs = response.notRun ? this.getWaitMs(response) : undefined;
    const { draining, rateLimit: ratePerS } = response;
    const existing = this.notices.get(formatIncarnation(target));
    if (ratePerS === undefined && existing !== undefined) existing.limit = undefined;
    if (!draining && waitMs === undefined && ratePerS === undefined) return;
    const notice = existing ?? this.createNotice(formatIncarnation(target));
    notice.isDraining ||= draining;
    if (ratePerS !== undefined) {
      notice.limit = { ratePerS, atMs: this.clock.getMonotonicTime() };
    }
    if (waitMs !== undefined) notice.waitUntilMs = this.clock.getMonotonicTime() + waitMs;
  }

  isDraining(target: ITargetRecord): boolean {
    return this.notices.get(formatIncarnation(target))?.isDraining === true;
  }

  /** Rate limits that the given targets have advertised, the latest first. */
  listLimits(targets: readonly ITargetRecord[]): readonly IAdvertisedLimit[] {
    if (this.notices.size === 0) return [];
    const nowMs = this.clock.getMonotonicTime();
    const limits = targets.flatMap((target) => {
      const limit = this.notices.get(formatIncarnation(target))?.limit;
      if (limit === undefined) return [];
      const { bornMs, id: targetId } = target;
      return { targetId, bornMs, ratePerS: limit.ratePerS, ageMs: nowMs - limit.atMs };
    });
    return limits.sort((left, right) => left.ageMs - right.ageMs);
  }

  /** Whether the target must not receive requests now. */
  isExcluded(target: ITargetRecord): boolean {
    if (this.notices.size === 0) return false;
    const notice = this.notices.get(formatIncarnation(target));
    if (notice === undefined) return false;
    return notice.isDraining || this.clock.getMonotonicTime() < notice.waitUntilMs;
  }

  private getWaitMs({ headers }: ITargetResponse): number | undefined {
    const text = findHeader(headers, RETRY_AFTER);
    if (text === undefined) return undefined;
    const waitMs = parseRetryAfterMs(text, this.clock.getWallTime());
    return waitMs === undefined ? undefined : Math.min(MAX_RETRY_AFTER_MS, waitMs);
  }

  private createNotice(incarnation: string): INotice {
    const notice: INotice = { isDraining: false, limit: undefined, waitUntilMs: -Infinity };
    this.notices.set(incarnation, notice);
    const [oldest] = this.notices.keys();
    if (this.notices.size > MAX_INCARNATIONS && oldest !== undefined) this.notices.delete(oldest);
    return notice;
  }
}
