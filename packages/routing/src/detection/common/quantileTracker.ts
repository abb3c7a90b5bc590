/**
 * Running latency quantile by stochastic approximation on a logarithmic scale. Each sample moves the
 * estimate by a small step, up in proportion to tau or down in proportion to 1 - tau, so that it
 * follows a drift. It keeps one number for each target and route where a histogram needs a window.
 */

/** Step of the estimate in natural-log units. */
const STEP = 0.04;
/** The estimate starts from the quantile of this many samples; from a single one it converges too slowly. */
const INITIAL_SAMPLES = 30;

/**
 * Tracks the `tau` quantile of latencies, with `tau` between 0 and 1.
 *
 * @example
 * const tracker = new QuantileTracker(0.9);
 * tracker.record(50);
 * tracker.getValue();
 */
export class QuantileTracker {
  private logValue = 0;
  private sampleCount = 0;
  private readonly initialSamples: number[] = [];

  constructor(private readonly tau: number) {}

  record(latencyMs: number): void {
    const logSample = Math.log(Math.max(latencyMs, 0.01));
    this.sampleCount += 1;
    if (this.sampleCount <= INITIAL_SAMPLES) {
      this.initialSamples.push(logSample);
      if (this.sampleCount === INITIAL_SAMPLES) this.logValue = this.computeInitialEstimate();
      return;
    }
    this.logValue += logSample > this.logValue ? STEP * this.tau : -STEP * (1 - this.tau);
  }

  /** The estimated quantile in ms; undefined until there are enough samples. */
  getValue(): number | undefined {
    return this.sampleCount < INITIAL_SAMPLES ? undefined : Math.exp(this.logValue);
  }

  private computeInitialEstimate(): number {
    this.initialSamples.sort((left, right) => left - right);
    const value = this.initialSamples[Math.floor(this.tau * INITIAL_SAMPLES)] ?? 0;
    this.initialSamples.length = 0;
    return value;
  }
}
