/** Keeps one member's operators from taking a node's time and the store's from the others. */
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { RateLimiter } from './rateLimiter.js';

/** Limits of one member on one node. */
export interface IMemberLimits {
  /** Requests a second. Default 10. */
  readonly requestsPerSecond?: number;
  /** Requests at once after a pause. Default 50. */
  readonly requestBurst?: number;
  /** Requests being worked on. Default 8. */
  readonly concurrentRequests?: number;
  /** Intents submitted a minute. Default 12. */
  readonly proposalsPerMinute?: number;
  /** Bytes of an intent. Default 524288. */
  readonly intentBytes?: number;
  /** Targets of an intent, over all services. Default 2000. */
  readonly targets?: number;
}

/** The limits when none are given. */
export const DEFAULT_MEMBER_LIMITS: Required<IMemberLimits> = {
  requestsPerSecond: 10,
  requestBurst: 50,
  concurrentRequests: 8,
  proposalsPerMinute: 12,
  intentBytes: 524_288,
  targets: 2000,
};

const SECONDS_PER_MINUTE = 60;

/**
 * Counts what each member does on this node.
 *
 * @example
 * return limiter.run('dobrescu', () => handle(request));
 */
export class MemberLimiter {
  readonly limits: Required<IMemberLimits>;
  private readonly requests: RateLimiter;
  private readonly proposalLimiter: RateLimiter;
  private readonly runningCounts = new Map<string, number>();

  constructor(clock: Clock, limits: IMemberLimits = {}) {
    this.limits = { ...DEFAULT_MEMBER_LIMITS, ...limits };
    const { requestsPerSecond, requestBurst, proposalsPerMinute } = this.limits;
    this.requests = new RateLimiter({ clock, perSecond: requestsPerSecond, burst: requestBurst });
    this.proposalLimiter = new RateLimiter({
      clock,
      perSecond: proposalsPerMinute / SECONDS_PER_MINUTE,
      burst: proposalsPerMinute,
    });
  }

  /** Runs `work` within the member's rate and concurrency. Throws LimitExceeded. */
  async run<T>(member: string, work: () => Promise<T>): Promise<T> {
    if (!this.requests.spend(member)) {
      throw createLimitError('too many requests', this.requests.getWaitMs(member));
    }
    const count = this.runningCounts.get(member) ?? 0;
    if (count >= this.limits.concurrentRequests) throw createLimitError('too many at once', 1000);
    this.runningCounts.set(member, count + 1);
    try {
      return await work();
    } finally {
      this.releaseRequest(member);
    }
  }

  /** Counts a proposal. Throws LimitExceeded. */
  spendProposal(member: string): void {
    if (this.proposalLimiter.spend(member)) return;
    throw createLimitError('too many intents', this.proposalLimiter.getWaitMs(member));
  }

  private releaseRequest(member: string): void {
    const count = (this.runningCounts.get(member) ?? 1) - 1;
    if (count === 0) this.runningCounts.delete(member);
    else this.runningCounts.set(member, count);
  }
}

/**
 * The refusal of what goes over a limit.
 *
 * @example
 * throw createLimitError('the intent has too many targets');
 */
export function createLimitError(message: string, retryAfterMs?: number): MuxError {
  return new MuxError({
    code: ResultCode.LimitExceeded,
    message,
    runState: RunState.NotRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}
