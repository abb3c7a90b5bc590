/** What a tenant asks for and gets at each priority, to spend a short quota on its urgent requests first. */
import { RequestRate } from '../../statistics/common/requestRate.js';
import { SlidingCount } from '../../statistics/common/slidingCount.js';

/** Number of priorities that are told apart; further ones count as the nearest known one. */
const MAX_CLASSES = 4;
const MS_PER_S = 1000;

interface IPriorityClass {
  readonly priority: number;
  readonly arrivals: RequestRate;
  readonly used: SlidingCount;
}

/**
 * While a tenant asks for more than its allowance, its less urgent requests get only what the more urgent ones
 * are expected to leave in the window. The expectation follows the arrivals, so that nothing is kept for
 * urgent requests that don't come.
 *
 * @example
 * demand.recordArrival(route.priority, now);
 * if (demand.hasRoom(route.priority, allowance, now)) demand.recordUse(route.priority, now);
 */
export class PriorityDemand {
  /** Most urgent first. */
  private readonly classes: IPriorityClass[] = [];

  /** Requests are counted over `windowMs`. */
  constructor(private readonly windowMs: number) {}

  recordArrival(priority: number, nowMs: number): void {
    this.getClass(priority).arrivals.add(nowMs);
  }

  recordUse(priority: number, nowMs: number): void {
    this.getClass(priority).used.add(nowMs);
  }

  /** Removes a use of a request that has not run. */
  releaseUse(priority: number, nowMs: number): void {
    this.getClass(priority).used.remove(nowMs);
  }

  /** Whether more urgent requests leave room for another one of `priority` in an allowance per window. */
  hasRoom(priority: number, allowance: number, nowMs: number): boolean {
    const own = this.getClass(priority);
    let asked = 0;
    let urgent = 0;
    let used = 0;
    for (const other of this.classes) {
      const expected = (other.arrivals.getRatePerS(nowMs) * this.windowMs) / MS_PER_S;
      asked += expected;
      if (other.priority < own.priority) urgent += expected;
      else used += other.used.count(nowMs);
    }
    return asked <= allowance || used + 1 <= allowance - urgent;
  }

  private getClass(priority: number): IPriorityClass {
    const { classes } = this;
    const known = classes.find((other) => other.priority === priority);
    if (known !== undefined) return known;
    const [nearest] = classes.toSorted((left, right) => {
      return Math.abs(left.priority - priority) - Math.abs(right.priority - priority);
    });
    if (nearest !== undefined && classes.length >= MAX_CLASSES) return nearest;
    const added = { priority, arrivals: new RequestRate(), used: new SlidingCount(this.windowMs) };
    classes.push(added);
    classes.sort((left, right) => left.priority - right.priority);
    return added;
  }
}
