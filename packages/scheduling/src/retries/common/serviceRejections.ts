/** Decides whether the targets of a service reject requests regardless of their load. */
import type { RejectionCounts } from './rejectionCounts.js';

/** Share of the targets, those that reject the largest shares, that can't cause the state. */
const TRIMMED_SHARE = 1 / 3;
/** Rejected share of the other targets from which the service rejects regardless of load. */
const ENTER_SHARE = 0.06;
/** Rejected share of the other targets below which it no longer does. */
const LEAVE_SHARE = 0.02;
/** Minimum number of requests and of rejections of the other targets to enter the state. */
const MIN_REQUESTS = 6;
const MIN_REJECTED = 3;
/** Interval between evaluations, in ms: each one sorts all targets. */
const EVALUATION_MS = 20;
/** Bounds of the rejected share with which single targets are compared. */
const MIN_SHARE = 0.05;
const MAX_SHARE = 0.95;

interface ISum {
  readonly rejected: number;
  readonly requests: number;
}

/** The state of a service, for logs and decisions. */
export interface IServiceRejections {
  readonly isRejecting: boolean;
  /** Rejected share of the targets without those that reject most, from 0 to 1. */
  readonly rejectedShare: number;
  /** Number of requests behind the share. */
  readonly requests: number;
  /** Rejected share of all targets, from 0 to 1. */
  readonly totalShare: number;
}

/**
 * Evaluates the rejected share of all targets except those that reject most.
 *
 * @example
 * const { isRejecting } = rejections.update(counts, now);
 */
export class ServiceRejections {
  private evaluatedMs = -Infinity;
  private state: IServiceRejections = {
    isRejecting: false,
    rejectedShare: 0,
    requests: 0,
    totalShare: 0,
  };

  /** The last evaluation. */
  get(): IServiceRejections {
    return this.state;
  }

  /** Rejected share with which a single target is compared. */
  getExpectedShare(): number {
    return Math.min(MAX_SHARE, Math.max(MIN_SHARE, this.state.totalShare));
  }

  /** Evaluates the counts of all targets, unless that was done just before. */
  update(counts: Iterable<RejectionCounts>, nowMs: number): IServiceRejections {
    if (nowMs - this.evaluatedMs < EVALUATION_MS) return this.state;
    this.evaluatedMs = nowMs;
    const { kept, all } = computeSums(counts, nowMs);
    const { rejected, requests } = kept;
    const rejectedShare = computeShare(kept);
    const totalShare = computeShare(all);
    const { isRejecting } = this.state;
    const hasEntered =
      requests >= MIN_REQUESTS && rejected >= MIN_REJECTED && rejectedShare >= ENTER_SHARE;
    const hasLeft = isRejecting && rejectedShare < LEAVE_SHARE;
    const isNowRejecting = hasEntered || (isRejecting && !hasLeft);
    this.state = { isRejecting: isNowRejecting, rejectedShare, requests, totalShare };
    return this.state;
  }
}

function computeSums(
  counts: Iterable<RejectionCounts>,
  nowMs: number,
): { readonly all: ISum; readonly kept: ISum } {
  const tried = [...counts]
    .map((one) => one.get(nowMs))
    .filter(({ requests }) => requests > 0)
    .sort((left, right) => computeShare(left) - computeShare(right));
  const kept = tried.slice(0, tried.length - Math.ceil(tried.length * TRIMMED_SHARE));
  return { all: computeSum(tried), kept: computeSum(kept) };
}

function computeSum(sums: readonly ISum[]): ISum {
  let rejected = 0;
  let requests = 0;
  for (const one of sums) {
    rejected += one.rejected;
    requests += one.requests;
  }
  return { rejected, requests };
}

function computeShare({ rejected, requests }: ISum): number {
  return requests === 0 ? 0 : rejected / requests;
}
