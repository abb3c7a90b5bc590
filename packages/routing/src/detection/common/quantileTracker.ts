/**
 * A running quantile of latencies, by stochastic approximation on the logarithm: each sample moves
 * the estimate up by tau or down by 1 - tau, in small steps, so that it follows a drift. A histogram would need one window a target and route; this needs one number.
 */

const STEP = 0.04;
/** The first samples are kept and sorted: an estimate that starts from one of them errs for long. */
const INITIAL_SAMPLES = 30;

/**
 * Tracks the `tau` quantile.
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

  /** The estimate in ms; undefined before there are enough samples. */
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
