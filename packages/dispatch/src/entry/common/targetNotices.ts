/** What targets have told this node in their answers about being sent more. */
import type { Clock } from '@parsleymux/base';
import type { ITargetResponse } from '@parsleymux/routing';
import { findHeader } from '@parsleymux/routing';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import { formatLife } from '../../catalog/common/catalog.js';
import type { IAdvertisedLimit } from '../../grants/common/grant.js';
import { parseRetryAfterMs } from './retryAfter.js';

const RETRY_AFTER = 'retry-after';
/** No target is left alone longer than this on its own word, in ms: a wrong word costs its capacity. */
const LONGEST_WAIT_MS = 600_000;
/** Lives of targets that are kept in mind at most, the oldest going first: more than a fleet has. */
const MAX_LIVES = 4096;

interface INotice {
  isLeaving: boolean;
  /** Requests a second that it takes from all nodes together, and when it said so last. */
  limit: { readonly ratePerS: number; readonly atMs: number } | undefined;
  /** When it may be sent requests again, in ms of the monotonic clock. */
  waitUntilMs: number;
}

/**
 * A target that leaves says so in its answers, seconds before any list does when the store is away; one
 * that has no room may say for how long, or name a limit of requests from all nodes together. A node that went on sending would have requests cut off, or
 * shed again, though it had been told. Each holds for one life of the target.
 *
 * @example
 * notices.record(target, answer);
 * if (notices.isExcluded(target)) choose another one;
 */
export class TargetNotices {
  private readonly notices = new Map<string, INotice>();

  constructor(private readonly clock: Clock) {}

  /** Takes a whole answer of the target itself. */
  record(target: ITargetRecord, answer: ITargetResponse): void {
    const waitMs = answer.notRun ? this.getWaitMs(answer) : undefined;
    const { draining, rateLimit: ratePerS } = answer;
    const known = this.notices.get(formatLife(target));
    if (ratePerS === undefined && known !== undefined) known.limit = undefined;
    if (!draining && waitMs === undefined && ratePerS === undefined) return;
    const notice = known ?? this.open(formatLife(target));
    notice.isLeaving ||= draining;
    if (ratePerS !== undefined) {
      notice.limit = { ratePerS, atMs: this.clock.getMonotonicTime() };
    }
    if (waitMs !== undefined) notice.waitUntilMs = this.clock.getMonotonicTime() + waitMs;
  }

  isLeaving(target: ITargetRecord): boolean {
    return this.notices.get(formatLife(target))?.isLeaving === true;
  }

  /** Limits that some of the targets have named, the latest first. */
  listLimits(targets: readonly ITargetRecord[]): readonly IAdvertisedLimit[] {
    if (this.notices.size === 0) return [];
    const nowMs = this.clock.getMonotonicTime();
    const limits = targets.flatMap((target) => {
      const limit = this.notices.get(formatLife(target))?.limit;
      if (limit === undefined) return [];
      const { bornMs, id: targetId } = target;
      return { targetId, bornMs, ratePerS: limit.ratePerS, ageMs: nowMs - limit.atMs };
    });
    return limits.sort((left, right) => left.ageMs - right.ageMs);
  }

  /** Whether nothing is to be sent to the target now. */
  isExcluded(target: ITargetRecord): boolean {
    if (this.notices.size === 0) return false;
    const notice = this.notices.get(formatLife(target));
    if (notice === undefined) return false;
    return notice.isLeaving || this.clock.getMonotonicTime() < notice.waitUntilMs;
  }

  private getWaitMs({ headers }: ITargetResponse): number | undefined {
    const text = findHeader(headers, RETRY_AFTER);
    if (text === undefined) return undefined;
    const waitMs = parseRetryAfterMs(text, this.clock.getWallTime());
    return waitMs === undefined ? undefined : Math.min(LONGEST_WAIT_MS, waitMs);
  }

  private open(life: string): INotice {
    const notice: INotice = { isLeaving: false, limit: undefined, waitUntilMs: -Infinity };
    this.notices.set(life, notice);
    const [oldest] = this.notices.keys();
    if (this.notices.size > MAX_LIVES && oldest !== undefined) this.notices.delete(oldest);
    return notice;
  }
}
