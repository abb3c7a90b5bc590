/** Detects a lasting change of a value among noise: Page's cumulative sums. */

/** Part of each deviation that may be chance, in the unit of the deviations. */
const ALLOWANCE = 0.4;
/** Sum of the rest that shows a change. */
const CHANGE_SUM = 1.6;

/** A change that was found. */
export interface IChange {
  /** Mean deviation of the samples since the change. */
  readonly mean: number;
  /** Number of these samples. */
  readonly samples: number;
}

/** Deviations in one direction since the sum was last zero. */
class CumulativeSum {
  private excess = 0;
  private sum = 0;
  private samples = 0;

  record(deviation: number): IChange | undefined {
    this.excess += deviation - ALLOWANCE;
    this.sum += deviation;
    this.samples += 1;
    if (this.excess <= 0) this.reset();
    if (this.excess < CHANGE_SUM) return undefined;
    return { mean: this.sum / this.samples, samples: this.samples };
  }

  reset(): void {
    this.excess = 0;
    this.sum = 0;
    this.samples = 0;
  }
}

/**
 * Sums up deviations in log units, whose standard deviation is about a half for processing times.
 *
 * @example
 * const change = detector.record(Math.log(2.5)); // undefined: once may be chance
 */
export class ChangeDetector {
  private readonly up = new CumulativeSum();
  private readonly down = new CumulativeSum();

  /** Returns the change that the deviations show, if any, and starts anew then. */
  record(deviation: number): IChange | undefined {
    const up = this.up.record(deviation);
    const down = this.down.record(-deviation);
    const change = up ?? (down === undefined ? undefined : { ...down, mean: -down.mean });
    if (change === undefined) return undefined;
    this.up.reset();
    this.down.reset();
    return change;
  }
}
