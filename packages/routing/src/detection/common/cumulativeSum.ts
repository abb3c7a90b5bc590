/** Page's cumulative sum test: a sequential likelihood ratio that restarts whenever it favours health. */

/**
 * Adds up evidence for "bad outcomes come with probability `alternative`" against "with `baseline`".
 *
 * @example
 * const test = new CumulativeSum();
 * if (test.record(true, 0.01, 0.3) > threshold) suspect();
 */
export class CumulativeSum {
  private sum = 0;

  /** Takes one outcome and returns the sum, in nats. */
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
