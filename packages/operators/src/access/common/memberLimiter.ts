/** Limits the load that one member's operators put on a node and on the store. */
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { RateLimiter } from './rateLimiter.js';

/** Limits of one member on one node. */
export interface IMemberLimits {
  /** Requests per second. Default 10. */
  readonly requestsPerSecond?: number;
  /** Requests in a burst after an idle period. Default 50. */
  readonly requestBurst?: number;
  /** Requests in progress at a time. Default 8. */
  readonly concurrentRequests?: number;
  /** Submitted intents per minute. Default 12. */
  readonly proposalsPerMinute?: number;
  /** Size of a request's body, such as an intent, in bytes. Default 524288. */
  readonly intentBytes?: number;
  /** Targets of an intent, summed over its services. Default 2000. */
  readonly targets?: number;
}

/** Default limits. */
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
 * Enforces the limits of each member on this node.
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

  /** Runs `work` within the member's rate and concurrency limits. Throws LimitExceeded. */
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

  /** Counts a submitted intent against the member's rate limit. Throws LimitExceeded. */
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
 * Creates the error for a request that exceeds a limit.
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
