/** How many requests of a service failed lately, and how many of its targets are in use. */
import type { TargetState } from './targetState.js';
import { SlidingCount } from './slidingCount.js';

/** A target that failed this long ago counts as sound again, and floors are judged over it, in ms. */
const WINDOW_MS = 2000;
/**
 * A target is due for another request after this time, in ms: a loss of all nodes may cut the window
 * in half. With 1,500 three of ten simulated losses of power still found a service below its floor.
 */
const REQUEST_DUE_MS = 1000;
/** A new target counts from this age on, in ms. */
const MIN_TARGET_AGE_MS = 6000;
/** The floor binds when a tenth of the requests fail; spreading begins a little sooner. */
const MIN_FAILED_SHARE = 0.085;
/** Fewer failures than this say nothing about a share. */
const MIN_FAILED = 2;

/** Which targets of a service are in use. */
export interface ITargetUsage {
  /** Share of the targets that got a request within the window, without those that failed in it. */
  readonly share: number;
  /** Share that is not due, each target counted by the probability that it is sound. */
  readonly healthyShare: number;
  /** Requests that ended within the window, for each target that is ready. */
  readonly requestsPerTarget: number;
  /** Targets that got no request lately. */
  readonly due: readonly TargetState[];
}

/**
 * Tells when requests must be spread over more targets. Ejecting ever more targets while requests
 * fail anyway would leave the rest overloaded: a floor on the targets in use keeps a wrong
 * health from taking a service down.
 *
 * @example
 * const { due } = served.getUse(targets, now);
 */
export class OutcomeWindow {
  private readonly succeeded = new SlidingCount(WINDOW_MS);
  private readonly failed = new SlidingCount(WINDOW_MS);

  record(isSuccess: boolean, nowMs: number): void {
    (isSuccess ? this.succeeded : this.failed).add(nowMs);
  }

  /** Whether so many requests fail that the floor binds. */
  isFailing(nowMs: number): boolean {
    const failed = this.failed.count(nowMs);
    return failed >= MIN_FAILED && failed >= MIN_FAILED_SHARE * this.countRequests(nowMs);
  }

  /** What is in use of the targets that count for a floor. */
  getUsage(targets: readonly TargetState[], nowMs: number): ITargetUsage {
    const counted = targets.filter((target) => isCounted(target, nowMs));
    const used = counted.filter(({ lastGrantMs }) => isWithin(lastGrantMs, nowMs, WINDOW_MS));
    const due = counted.filter(({ lastGrantMs, rateLimit }) => {
      return !isWithin(lastGrantMs, nowMs, REQUEST_DUE_MS) && rateLimit.isOpen(nowMs);
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

function isWithin(atMs: number | undefined, nowMs: number, lastMs: number): boolean {
  return atMs !== undefined && atMs > nowMs - lastMs;
}

/** How many of the targets are likely sound. */
function countHealthy(targets: readonly TargetState[], nowMs: number): number {
  return targets.reduce((sum, { health }) => sum + 1 - health.getSuspicion(nowMs), 0);
}

function computeShare(part: number, whole: number): number {
  return whole <= 0 ? 1 : part / whole;
}
