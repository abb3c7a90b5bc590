/** The fleet's retries of one service, kept within a share of its requests. */
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

/**
 * Part of the allowance that one home uses. Two nodes can take themselves for the home of one
 * service while the fleet changes; together they must stay inside. Half each is safe for two.
 */
const BURST_SHARE = 0.5;
/** The rest covers arrivals that the window of the observer counts and ours no longer does. */
const RATIO_SHARE = 0.95;

/**
 * Decides whether another retry may be sent.
 *
 * @example
 * if (window.isOpen(now)) window.recordRetry(now);
 */
export class RetryWindow {
  private readonly requests: SlidingCount;
  private readonly retries: SlidingCount;

  constructor(private options: IRetryWindowOptions) {
    this.requests = new SlidingCount(options.windowMs);
    this.retries = new SlidingCount(options.windowMs);
  }

  /** Changes the allowance; the window keeps its length, for its counts belong to it. */
  setAllowance({ burst, ratio }: Pick<IRetryWindowOptions, 'burst' | 'ratio'>): void {
    this.options = { ...this.options, burst, ratio };
  }

  recordRequest(nowMs: number): void {
    this.requests.add(nowMs);
  }

  recordRetry(nowMs: number): void {
    this.retries.add(nowMs);
  }

  /** Whether one more may be sent besides `pending` that were let in and not sent yet. */
  isOpen(nowMs: number, pending = 0): boolean {
    return this.retries.count(nowMs) + pending + 1 <= this.getAllowance(nowMs);
  }

  /** Share of the allowance that is used up, from 0 to 1. */
  getUsedShare(nowMs: number): number {
    return Math.min(1, this.retries.count(nowMs) / Math.max(1, this.getAllowance(nowMs)));
  }

  private getAllowance(nowMs: number): number {
    const { ratio, burst } = this.options;
    return RATIO_SHARE * ratio * this.requests.count(nowMs) + BURST_SHARE * burst;
  }
}
