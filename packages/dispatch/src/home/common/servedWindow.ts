/** How many requests of a service failed lately, and whether enough of its targets are used. */
import type { BookedTarget } from './bookedTarget.js';
import { SlidingCount } from './slidingCount.js';

/** A target that failed this long ago counts as sound again, and floors are judged over it, in ms. */
const WINDOW_MS = 2000;
/** A new target counts from this age on, in ms. */
const SETTLED_MS = 6000;
/** The floor binds when a tenth of the requests fail; spreading begins a little sooner. */
const FAILED_SHARE = 0.085;
/** Fewer failures than this say nothing about a share. */
const MIN_FAILED = 2;
/** Headroom above the floor, since the share moves with every target that comes or goes. */
const FLOOR_MARGIN = 0.08;

/**
 * Tells when requests must be spread over more targets. Ejecting ever more targets while requests
 * fail anyway would leave the rest overloaded: a floor on the targets in use keeps a wrong
 * belief from taking a service down.
 *
 * @example
 * if (served.isBelowFloor(targets, 0.7, now)) grantLeastRecentlyUsed();
 */
export class ServedWindow {
  private readonly succeeded = new SlidingCount(WINDOW_MS);
  private readonly failed = new SlidingCount(WINDOW_MS);

  record(isServed: boolean, nowMs: number): void {
    (isServed ? this.succeeded : this.failed).add(nowMs);
  }

  isBelowFloor(targets: readonly BookedTarget[], floorShare: number, nowMs: number): boolean {
    const failed = this.failed.count(nowMs);
    const total = failed + this.succeeded.count(nowMs);
    if (failed < MIN_FAILED || failed < FAILED_SHARE * total) return false;
    const sound = targets.filter((target) => isSound(target, nowMs));
    const used = sound.length - this.listUnused(targets, nowMs).length;
    return used < (floorShare + FLOOR_MARGIN) * sound.length;
  }

  /** Sound targets that got no request within the window. */
  listUnused(targets: readonly BookedTarget[], nowMs: number): readonly BookedTarget[] {
    return targets.filter((target) => {
      return isSound(target, nowMs) && !isRecent(target.lastGrantMs, nowMs);
    });
  }
}

function isSound(target: BookedTarget, nowMs: number): boolean {
  if (!target.isReady || target.joinedMs > nowMs - SETTLED_MS) return false;
  return !isRecent(target.belief.lastFailureMs, nowMs);
}

function isRecent(atMs: number | undefined, nowMs: number): boolean {
  return atMs !== undefined && atMs > nowMs - WINDOW_MS;
}
