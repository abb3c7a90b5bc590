/** The limit of requests that one target names, and how much of it is used. */
import { MS_PER_SECOND } from '@parsleymux/base';

/** Requests that may be sent at once after a pause. */
const BURST = 1;
/** Requests beyond the limit that are made up for at most, as the limit's requests of so many s. */
const MAX_DEBT_S = 1;
/** A target that gets nothing could never say that it takes more again. */
const MIN_RATE_PER_S = 0.2;

/** What a target said of its limit, or did not say any more. */
export interface IRateEvidence {
  /** Requests a second from all nodes together; undefined if the target named no limit. */
  readonly ratePerS: number | undefined;
  /** When it was so, in ms of the monotonic clock. */
  readonly atMs: number;
}

/**
 * A token bucket that exists only while the target names a limit. It begins empty, so that homes that
 * follow one another give no burst each.
 *
 * @example
 * limit.apply({ ratePerS: 1.5, atMs: nowMs }, nowMs);
 * if (limit.isOpen(nowMs)) limit.recordGrant(nowMs);
 */
export class TargetRateLimit {
  private newest: IRateEvidence | undefined;
  private tokens = 0;
  private filledMs = 0;
  /** Grants of other homes, as they counted them when they were heard last. */
  private readonly grantedByPeer = new Map<string, number>();

  /** Undefined until the target has named a limit once. */
  get evidence(): IRateEvidence | undefined {
    return this.newest;
  }

  /** Requests a second that the target takes; undefined while it names no limit. */
  get ratePerS(): number | undefined {
    return this.newest?.ratePerS;
  }

  /** Requests a second that it is granted at most; infinite while it names no limit. */
  get grantsPerS(): number {
    return this.ratePerS === undefined ? Infinity : Math.max(MIN_RATE_PER_S, this.ratePerS);
  }

  /** Takes newer evidence. Absence of a limit is no evidence where none was named before. */
  apply(evidence: IRateEvidence, nowMs: number): void {
    const isFirst = this.newest === undefined;
    if (isFirst && evidence.ratePerS === undefined) return;
    if (evidence.atMs < (this.newest?.atMs ?? -Infinity)) return;
    if (this.ratePerS === undefined) {
      this.tokens = 0;
      this.filledMs = nowMs;
    } else this.advance(nowMs);
    this.newest = evidence;
  }

  /** Whether one more request may be sent. */
  isOpen(nowMs: number): boolean {
    if (this.ratePerS === undefined) return true;
    this.advance(nowMs);
    return this.tokens >= 1;
  }

  recordGrant(nowMs: number): void {
    this.take(1, nowMs);
  }

  /** Another home has granted the target `granted` requests since it knows it. */
  recordPeerGrants(home: string, granted: number, nowMs: number): void {
    const before = this.grantedByPeer.get(home) ?? granted;
    this.grantedByPeer.set(home, granted);
    // A home that has started anew counts from nothing.
    this.take(Math.max(0, granted - before), nowMs);
  }

  private take(requests: number, nowMs: number): void {
    const { ratePerS } = this;
    if (ratePerS === undefined) return;
    this.advance(nowMs);
    const maxDebt = Math.max(1, ratePerS * MAX_DEBT_S);
    this.tokens = Math.max(-maxDebt, this.tokens - requests);
  }

  private advance(nowMs: number): void {
    const added = (this.grantsPerS * Math.max(0, nowMs - this.filledMs)) / MS_PER_SECOND;
    this.tokens = Math.min(BURST, this.tokens + added);
    this.filledMs = nowMs;
  }
}
