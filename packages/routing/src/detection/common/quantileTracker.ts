/**
 * A running quantile of latencies, by stochastic approximation on the logarithm: each sample moves
 * the estimate up by tau or down by 1 - tau, in steps that shrink to a floor, so that the estimate
 * follows a drift. A histogram would need one window a target and route; this needs one number.
 */

const FIRST_STEP = 0.6;
const LAST_STEP = 0.04;

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
  private samples = 0;

  constructor(private readonly tau: number) {}

  /** Samples seen. */
  get count(): number {
    return this.samples;
  }

  record(latencyMs: number): void {
    const logSample = Math.log(Math.max(latencyMs, 0.01));
    this.samples += 1;
    if (this.samples === 1) {
      this.logValue = logSample;
      return;
    }
    const step = Math.max(LAST_STEP, FIRST_STEP / Math.sqrt(this.samples));
    this.logValue += logSample > this.logValue ? step * this.tau : -step * (1 - this.tau);
  }

  /** The estimate in ms. */
  getValue(): number {
    return Math.exp(this.logValue);
  }
}
