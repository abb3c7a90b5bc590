/** Running estimate of the service time of targets, in ms. */

/** Weight of a new sample in the exponential averages. */
const WEIGHT = 0.05;
/** Mean deviations above the mean; about one in thirty log-normal times exceeds that. */
const LONGEST_EXPECTED_DEVIATIONS = 3;
/** Zero, so that no request is refused for lack of time before a service time was measured. */
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

  /** Records the service time of one successful request, in ms. */
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

  /** The mean in ms; 0 before the first sample. */
  getMean(): number {
    return this.meanMs;
  }

  /** A duration in ms that few requests exceed; 0 before the first sample. */
  getLongestExpected(): number {
    return this.meanMs + LONGEST_EXPECTED_DEVIATIONS * this.deviationMs;
  }
}
