/** How many requests of a service failed lately, and how many of its targets are in use. */
import type { BookedTarget } from './bookedTarget.js';
import { SlidingCount } from './slidingCount.js';

/** A target that failed this long ago counts as sound again, and floors are judged over it, in ms. */
const WINDOW_MS = 2000;
/**
 * A target is due for another request after this time, in ms: a loss of all nodes may cut the window
 * in half. With 1,500 three of ten simulated losses of power still found a service below its floor.
 */
const DUE_MS = 1000;
/** A new target counts from this age on, in ms. */
const SETTLED_MS = 6000;
/** The floor binds when a tenth of the requests fail; spreading begins a little sooner. */
const FAILED_SHARE = 0.085;
/** Fewer failures than this say nothing about a share. */
const MIN_FAILED = 2;

/** Which targets of a service are in use. */
export interface ITargetUse {
  /** Share of the targets that got a request within the window, without those that failed in it. */
  readonly share: number;
  /** Share that is not due, each target counted by the probability that it is sound. */
  readonly soundShare: number;
  /** Requests that ended within the window, for each target that is ready. */
  readonly requestsPerTarget: number;
  /** Targets that got no request lately. */
  readonly due: readonly BookedTarget[];
}

/**
 * Tells when requests must be spread over more targets. Ejecting ever more targets while requests
 * fail anyway would leave the rest overloaded: a floor on the targets in use keeps a wrong
 * belief from taking a service down.
 *
 * @example
 * const { due } = served.getUse(targets, now);
 */
export class ServedWindow {
  private readonly succeeded = new SlidingCount(WINDOW_MS);
  private readonly failed = new SlidingCount(WINDOW_MS);

  record(isServed: boolean, nowMs: number): void {
    (isServed ? this.succeeded : this.failed).add(nowMs);
  }

  /** Whether so many requests fail that the floor binds. */
  isFailing(nowMs: number): boolean {
    const failed = this.failed.count(nowMs);
    return failed >= MIN_FAILED && failed >= FAILED_SHARE * this.countRequests(nowMs);
  }

  /** What is in use of the targets that count for a floor. */
  getUse(targets: readonly BookedTarget[], nowMs: number): ITargetUse {
    const counted = targets.filter((target) => isCounted(target, nowMs));
    const used = counted.filter(({ lastGrantMs }) => isWithin(lastGrantMs, nowMs, WINDOW_MS));
    const due = counted.filter(({ lastGrantMs, rateLimit }) => {
      return !isWithin(lastGrantMs, nowMs, DUE_MS) && rateLimit.isOpen(nowMs);
    });
    const all = countSound(counted, nowMs);
    return {
      share: computeShare(used.length, counted.length),
      requestsPerTarget: this.countRequests(nowMs) / Math.max(1, countReady(targets)),
      soundShare: computeShare(all - countSound(due, nowMs), all),
      due,
    };
  }

  private countRequests(nowMs: number): number {
    return this.failed.count(nowMs) + this.succeeded.count(nowMs);
  }
}

function countReady(targets: readonly BookedTarget[]): number {
  return targets.filter(({ isReady }) => isReady).length;
}

function isCounted(target: BookedTarget, nowMs: number): boolean {
  if (!target.isReady || (target.isNew && target.joinedMs > nowMs - SETTLED_MS)) return false;
  return !isWithin(target.belief.lastFailureMs, nowMs, WINDOW_MS);
}

function isWithin(atMs: number | undefined, nowMs: number, lastMs: number): boolean {
  return atMs !== undefined && atMs > nowMs - lastMs;
}

/** How many of the targets are likely sound. */
function countSound(targets: readonly BookedTarget[], nowMs: number): number {
  return targets.reduce((sum, { belief }) => sum + 1 - belief.getSuspicion(nowMs), 0);
}

function computeShare(part: number, whole: number): number {
  return whole <= 0 ? 1 : part / whole;
}
