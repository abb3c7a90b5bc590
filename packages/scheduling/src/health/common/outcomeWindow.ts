/** Measures the recent failures of a service and how many of its targets are in use. */
import type { TargetState } from '../../capacity/common/targetState.js';
import { SlidingCount } from '../../statistics/common/slidingCount.js';

/**
 * Window over which failures and the floor on targets in use are evaluated, in ms. A target whose last
 * failure is older counts for the floor again.
 */
const WINDOW_MS = 2000;
/**
 * A target without a grant for this long is due for another request, in ms. Half the window, because a
 * crash of all nodes may cut the window in half; with 1,500 ms the floor could still be missed then.
 */
const REQUEST_DUE_MS = 1000;
/** Age from which a new target counts, in ms. */
const MIN_TARGET_AGE_MS = 6000;
/** Share of failed requests from which requests are spread. The floor is required from a tenth on. */
const MIN_FAILED_SHARE = 0.085;
/** Minimum number of failures for a meaningful share. */
const MIN_FAILED = 2;

/** How many targets of a service are in use. */
export interface ITargetUsage {
  /** Share of targets that got a request within the window; targets that failed in it are not counted. */
  readonly share: number;
  /** Share of targets that are not due, each weighted by the probability that it is healthy. */
  readonly healthyShare: number;
  /** Finished requests within the window per ready target. */
  readonly requestsPerTarget: number;
  /** Targets without a recent request. */
  readonly due: readonly TargetState[];
}

/**
 * Determines when requests must be spread over more targets. If more and more targets were ejected
 * while requests keep failing, the remaining ones would be overloaded. A floor on the targets in use
 * prevents wrong health estimates from making a service unavailable.
 *
 * @example
 * const { due } = outcomeWindow.getUsage(targets, now);
 */
export class OutcomeWindow {
  private readonly succeeded = new SlidingCount(WINDOW_MS);
  private readonly failed = new SlidingCount(WINDOW_MS);

  record(isSuccess: boolean, nowMs: number): void {
    (isSuccess ? this.succeeded : this.failed).add(nowMs);
  }

  /** Whether so many requests fail that the floor applies. */
  isFailing(nowMs: number): boolean {
    const failed = this.failed.count(nowMs);
    return failed >= MIN_FAILED && failed >= MIN_FAILED_SHARE * this.countRequests(nowMs);
  }

  /** Usage of the targets that count for the floor. */
  getUsage(targets: readonly TargetState[], nowMs: number): ITargetUsage {
    const counted = targets.filter((target) => isCounted(target, nowMs));
    // The floor is on targets that get requests, so those in progress don't count while it applies.
    const isUsed = this.isFailing(nowMs) ? hasGrant : hasGrantOrWorks;
    const used = counted.filter((target) => isUsed(target, nowMs, WINDOW_MS));
    const due = counted.filter((target) => {
      return !isUsed(target, nowMs, REQUEST_DUE_MS) && target.rateLimit.isOpen(nowMs);
    });
    const all = countHealthy(counted, nowMs);
    return {
      share: computeShare(used.length, counted.length),
      requestsPerTarget: this.countRequests(nowMs) / Math.max(1, countReady(targets)),
      healthyShare: computeShare(all - countHealthy(due, nowMs), all),
      due,
    };
  }

  private countRequests(nowMs: number): number {
    return this.failed.count(nowMs) + this.succeeded.count(nowMs);
  }
}

function countReady(targets: readonly TargetState[]): number {
  return targets.filter(({ isReady }) => isReady).length;
}

function isCounted(target: TargetState, nowMs: number): boolean {
  if (!target.isReady || (target.isNew && target.joinedMs > nowMs - MIN_TARGET_AGE_MS))
    return false;
  return !isWithin(target.health.lastFailureMs, nowMs, WINDOW_MS);
}

function hasGrant({ lastGrantMs }: TargetState, nowMs: number, lastMs: number): boolean {
  return isWithin(lastGrantMs, nowMs, lastMs);
}

/** Whether a target got a request, or works on one if its speed is learned: a slow one gets requests less often. */
function hasGrantOrWorks(target: TargetState, nowMs: number, lastMs: number): boolean {
  if (hasGrant(target, nowMs, lastMs)) return true;
  return target.speed !== undefined && target.inUse > 0 && !target.health.isFailing(nowMs);
}

function isWithin(atMs: number | undefined, nowMs: number, lastMs: number): boolean {
  return atMs !== undefined && atMs > nowMs - lastMs;
}

/** Expected number of healthy targets. */
function countHealthy(targets: readonly TargetState[], nowMs: number): number {
  return targets.reduce((sum, { health }) => sum + 1 - health.getSuspicion(nowMs), 0);
}

function computeShare(part: number, whole: number): number {
  return whole <= 0 ? 1 : part / whole;
}
