/** The fleet's retries of one service, kept within a share of its requests. */
import type { IRetryCounts } from './peerRetryCounts.js';
import { PeerRetryCounts } from './peerRetryCounts.js';
import { SlidingCount } from './slidingCount.js';

/** Options of a {@link RetryWindow}. */
export interface IRetryWindowOptions {
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Retries allowed besides. */
  readonly burst: number;
}

/** What this home counted, by part of the window, newest first. */
export type OwnCounts = Pick<IRetryCounts, 'requests' | 'retries'>;

/**
 * Part of the burst that homes use. The rest covers what one home does not know of another yet: two
 * at once tell each other their counts twice a second.
 */
const BURST_SHARE = 0.5;
/**
 * Part of the burst of a home that does not know what was sent before it. A service with few requests
 * would get no retry at all for a window after a start; ten such homes in one window stay within the
 * part that homes leave unused.
 */
const INCOMPLETE_BURST_SHARE = 0.05;
/** The rest covers arrivals that the window of the observer counts and ours no longer does. */
const RATIO_SHARE = 0.95;

/**
 * Decides whether another retry may be sent.
 *
 * The limit holds over all nodes, but homes come and go: with restarts in series three to five homes
 * follow each other within one window. If each counted from nothing, each would be given the burst
 * anew, and would spend a share of requests for which the former one had sent retries already: 896
 * where 816 were allowed (simulated, 108 nodes). So a home counts what others told it too, and has
 * next to no burst while it can't know what was sent before it.
 *
 * @example
 * if (window.isOpen(now)) window.recordRetry(now);
 */
export class RetryWindow {
  private readonly requests: SlidingCount;
  private readonly retries: SlidingCount;
  private readonly peerCounts: PeerRetryCounts;
  private receivingSinceMs: number | undefined;
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
   * Since when homes at work would have told this node what they count, in ms; undefined if they
   * would not, for it is not among those that take over.
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

  /** Takes what another home told; `isComplete` if no retry of the window is unknown to it. */
  recordPeerCounts(counts: readonly IRetryCounts[], isComplete: boolean, nowMs: number): void {
    for (const one of counts) this.peerCounts.take(one);
    if (isComplete) this.completeCountsMs = nowMs;
  }

  /** Whether no retry of the window is unknown: the home was told, or heard of none all along. */
  isComplete(nowMs: number): boolean {
    if (this.receivingSinceMs === undefined) return false;
    const hasReceivedForWindow = nowMs - this.receivingSinceMs >= this.options.windowMs;
    return hasReceivedForWindow || this.completeCountsMs >= this.receivingSinceMs;
  }

  /** Whether one more may be sent besides `pending` that were let in and not sent yet. */
  isOpen(nowMs: number, pending = 0): boolean {
    return this.countRetries(nowMs) + pending + 1 <= this.getAllowance(nowMs);
  }

  /** Share of the allowance that is used up, from 0 to 1. */
  getUsedShare(nowMs: number): number {
    return Math.min(1, this.countRetries(nowMs) / Math.max(1, this.getAllowance(nowMs)));
  }

  /** Retries within the window that other homes counted. */
  countPeerRetries(nowMs: number): number {
    return this.peerCounts.count(nowMs).retries;
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

  private getAllowance(nowMs: number): number {
    const { ratio, burst } = this.options;
    const requests = this.requests.count(nowMs) + this.peerCounts.count(nowMs).requests;
    return RATIO_SHARE * ratio * requests + this.getBurstShare(nowMs) * burst;
  }

  /** None for a node that is not among the homes: it decides alone, as a hundred others may. */
  private getBurstShare(nowMs: number): number {
    if (this.receivingSinceMs === undefined) return 0;
    return this.isComplete(nowMs) ? BURST_SHARE : INCOMPLETE_BURST_SHARE;
  }
}
