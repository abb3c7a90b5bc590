/** Page's cumulative sum test: a log-likelihood ratio that never falls below zero. */

/**
 * Accumulates evidence that bad outcomes occur with probability `alternative` rather than `baseline`.
 *
 * @example
 * const test = new CumulativeSum();
 * if (test.record(true, 0.01, 0.3) > threshold) suspect();
 */
export class CumulativeSum {
  private sum = 0;

  /** Records one outcome and returns the sum in nats (natural-log units of evidence). */
  record(isBad: boolean, baseline: number, alternative: number): number {
    const ratio = isBad
      ? Math.log(alternative / baseline)
      : Math.log((1 - alternative) / (1 - baseline));
    this.sum = Math.max(0, this.sum + ratio);
    return this.sum;
  }

  get value(): number {
    return this.sum;
  }

  reset(): void {
    this.sum = 0;
  }
}
