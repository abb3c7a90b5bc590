/** Limits the fleet's retries of one service to a share of its requests. */
import type { IRetryCounts } from './peerRetryCounts.js';
import { PeerRetryCounts } from './peerRetryCounts.js';
import { PARTS_PER_WINDOW, SlidingCount } from '../../statistics/common/slidingCount.js';

/** Options of a {@link RetryWindow}. */
export interface IRetryWindowOptions {
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  /** Retries allowed in addition, independent of the number of requests. */
  readonly burst: number;
}

/** The counts of this home, per part of the window, newest first. */
export type OwnCounts = Pick<IRetryCounts, 'requests' | 'retries'>;

/**
 * Share of the burst that homes use. The rest covers retries of concurrent homes that this home has not
 * learned of yet: homes exchange their counts twice a second.
 */
const BURST_SHARE = 0.5;
/**
 * Share of the burst for a home that doesn't know the retries sent before it became the home. With none,
 * a service with few requests would have no retries for a whole window after a start. Ten such homes
 * in one window stay within the unused share of the burst.
 */
const INCOMPLETE_BURST_SHARE = 0.05;
/**
 * Share of the ratio that homes use. The rest covers arrivals that have expired from this window but are
 * still counted in an observer's window.
 */
const RATIO_SHARE = 0.95;

/**
 * Decides whether another retry may be sent.
 *
 * The limit applies to all nodes together, while homes change: in a rolling restart three to five homes
 * follow each other within one window. If each of them counted from zero, each would have the whole burst
 * and the allowance of requests whose retries an earlier home had already sent, which exceeds the limit.
 * Therefore a home includes the counts received from other homes, and has only a small burst while it
 * can't know the retries sent before.
 *
 * @example
 * if (window.isOpen(now)) window.recordRetry(now);
 */
export class RetryWindow {
  private readonly requests: SlidingCount;
  private readonly retries: SlidingCount;
  private readonly peerCounts: PeerRetryCounts;
  /** See {@link setReceivingSince}. */
  private receivingSinceMs: number | undefined;
  /** Time of the last complete counts from another home, in ms of the monotonic clock. */
  private completeCountsMs = -Infinity;

  constructor(private options: IRetryWindowOptions) {
    const { windowMs } = options;
    this.requests = new SlidingCount(windowMs);
    this.retries = new SlidingCount(windowMs);
    this.peerCounts = new PeerRetryCounts({ windowMs, partMs: this.partMs });
  }

  /** Length of one part of the window, in ms. */
  get partMs(): number {
    return this.requests.partMs;
  }

  /** Changes the allowance; the window keeps its length, for its counts belong to it. */
  setAllowance({ burst, ratio }: Pick<IRetryWindowOptions, 'burst' | 'ratio'>): void {
    this.options = { ...this.options, burst, ratio };
  }

  /**
   * Sets the time since which active homes have been sending their counts to this node, in ms of the
   * monotonic clock; undefined if they don't, because this node is not among the homes of the service.
   */
  setReceivingSince(ms: number | undefined): void {
    this.receivingSinceMs = ms;
  }

  recordRequest(nowMs: number): void {
    this.requests.add(nowMs);
  }

  recordRetry(nowMs: number): void {
    this.retries.add(nowMs);
  }

  /** Records counts from another home; `isComplete` if that home knows all retries of the window. */
  recordPeerCounts(counts: readonly IRetryCounts[], isComplete: boolean, nowMs: number): void {
    for (const one of counts) this.peerCounts.record(one);
    if (isComplete) this.completeCountsMs = nowMs;
  }

  /**
   * Whether all retries of the window are known: either complete counts were received, or this node has
   * been receiving counts for a whole window.
   */
  isComplete(nowMs: number): boolean {
    if (this.receivingSinceMs === undefined) return false;
    const hasReceivedForWindow = nowMs - this.receivingSinceMs >= this.options.windowMs;
    return hasReceivedForWindow || this.completeCountsMs >= this.receivingSinceMs;
  }

  /** Whether another retry may be sent in addition to `pending` admitted ones that were not sent yet. */
  isOpen(nowMs: number, pending = 0): boolean {
    return this.countRetries(nowMs) + pending + 1 <= this.getAllowance(nowMs);
  }

  /** Retries that may still be sent in addition to `pending` admitted ones; may be negative. */
  countLeft(nowMs: number, pending: number): number {
    return this.getAllowance(nowMs) - this.countRetries(nowMs) - pending;
  }

  /** Retries allowed in the window, with those that were sent. */
  getAllowance(nowMs: number): number {
    const { ratio, burst } = this.options;
    const requests = this.requests.count(nowMs) + this.peerCounts.count(nowMs).requests;
    return RATIO_SHARE * ratio * requests + this.getBurstShare(nowMs) * burst;
  }

  /** Used share of the allowance, from 0 to 1. */
  getUsedShare(nowMs: number): number {
    return Math.min(1, this.countRetries(nowMs) / Math.max(1, this.getAllowance(nowMs)));
  }

  /** Retries of other homes within the window. */
  countPeerRetries(nowMs: number): number {
    return this.peerCounts.count(nowMs).retries;
  }

  /**
   * By how much more, or less, will be left in each of the next parts of the window at least, without further
   * retries and if requests arrive as before. A part of the requests leaves at once and is replaced gradually.
   */
  listChanges(nowMs: number): readonly number[] {
    const { requests, retries } = this.listOwn(nowMs);
    const perRequest = RATIO_SHARE * this.options.ratio;
    const parts = PARTS_PER_WINDOW;
    const arriving = (perRequest * this.requests.count(nowMs)) / parts;
    let change = 0;
    return Array.from({ length: parts }, (_, part) => {
      const age = parts - 1 - part;
      const leaving = (retries[age] ?? 0) - perRequest * (requests[age] ?? 0);
      const least = change + Math.min(0, leaving);
      change += leaving + arriving;
      return least;
    });
  }

  listOwn(nowMs: number): OwnCounts {
    return { requests: this.requests.list(nowMs), retries: this.retries.list(nowMs) };
  }

  listOthers(nowMs: number): readonly IRetryCounts[] {
    return this.peerCounts.list(nowMs);
  }

  private countRetries(nowMs: number): number {
    return this.retries.count(nowMs) + this.peerCounts.count(nowMs).retries;
  }

  /** Zero for a node that is not among the homes: a hundred such nodes may decide locally concurrently. */
  private getBurstShare(nowMs: number): number {
    if (this.receivingSinceMs === undefined) return 0;
    return this.isComplete(nowMs) ? BURST_SHARE : INCOMPLETE_BURST_SHARE;
  }
}
