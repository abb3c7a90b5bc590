/** Estimates a request rate by an exponentially weighted average. */

const MS_PER_S = 1000;
/**
 * Time constant, in ms, after which a request counts about a third: several announcement intervals, and a
 * fraction of a quota window.
 */
const TIME_CONSTANT_MS = 2000;

/**
 * The average rate of recorded requests, in requests per second.
 *
 * @example
 * rate.add(now);
 * rate.getRatePerS(now);
 */
export class RequestRate {
  private perS = 0;
  private updatedMs = 0;

  add(nowMs: number): void {
    this.perS = this.getRatePerS(nowMs) + MS_PER_S / TIME_CONSTANT_MS;
    this.updatedMs = nowMs;
  }

  getRatePerS(nowMs: number): number {
    return this.perS * Math.exp((this.updatedMs - nowMs) / TIME_CONSTANT_MS);
  }
}
