/** A running estimate of how long targets take, in ms. */

const WEIGHT = 0.05;
/** Mean deviations above the mean; about one log-normal time in thirty is longer. */
const LONGEST_EXPECTED_DEVIATIONS = 3;
/** Before anything was measured, nothing is refused for want of time. */
const INITIAL_MS = 0;

/**
 * Exponentially weighted mean and mean deviation.
 *
 * @example
 * const estimate = new ServiceTimeEstimate();
 * estimate.record(40);
 * estimate.getMean();
 */
export class ServiceTimeEstimate {
  private meanMs = INITIAL_MS;
  private deviationMs = 0;
  private hasSample = false;

  /** Takes note of one answered request. */
  record(durationMs: number): void {
    if (!this.hasSample) {
      this.hasSample = true;
      this.meanMs = durationMs;
      this.deviationMs = durationMs / 2;
      return;
    }
    const error = durationMs - this.meanMs;
    this.meanMs += WEIGHT * error;
    this.deviationMs += WEIGHT * (Math.abs(error) - this.deviationMs);
  }

  /** The mean; 0 before the first answer. */
  getMean(): number {
    return this.meanMs;
  }

  /** A duration that all but a few answers stay under; 0 before the first answer. */
  getLongestExpected(): number {
    return this.meanMs + LONGEST_EXPECTED_DEVIATIONS * this.deviationMs;
  }
}
