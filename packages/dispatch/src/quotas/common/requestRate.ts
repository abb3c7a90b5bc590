/** Requests a second, averaged so that what lies further back counts less. */

const MS_PER_S = 1000;
/** After this time a request counts for a third, in ms: several announcements, a fraction of a window. */
const TIME_CONSTANT_MS = 2000;

/**
 * @example
 * rate.add(now);
 * rate.getPerS(now);
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
