/** A mean of samples whose weight decays with time and with newer samples. */

/** Options of a {@link DecayedMean}. */
export interface IDecayedMeanOptions {
  /** Time in which the weight of a sample decays by the factor e, in ms. */
  readonly decayMs: number;
  /** Weight of all samples together is at most this, so that newer ones replace older ones. */
  readonly maxWeight: number;
}

/**
 * Estimates a value that changes, shrunk towards a prior while there are few samples.
 *
 * @example
 * const mean = new DecayedMean({ decayMs: 4000, maxWeight: 12 });
 * mean.record(0.7, now);
 * mean.getMean(now, 4); // 0.14: shrunk towards 0 by a prior with the weight of four samples
 */
export class DecayedMean {
  private weight = 0;
  private mean = 0;
  private updatedMs = -Infinity;

  constructor(private readonly options: IDecayedMeanOptions) {}

  /** Time of the latest sample, in ms of the monotonic clock. */
  get lastMs(): number {
    return this.updatedMs;
  }

  getWeight(nowMs: number): number {
    if (this.weight === 0) return 0;
    return this.weight * Math.exp(-Math.max(0, nowMs - this.updatedMs) / this.options.decayMs);
  }

  /** The mean, shrunk towards 0 by a prior of `priorWeight` samples. */
  getMean(nowMs: number, priorWeight: number): number {
    const weight = this.getWeight(nowMs);
    return weight === 0 ? 0 : (this.mean * weight) / (weight + priorWeight);
  }

  record(value: number, nowMs: number): void {
    const before = Math.min(this.getWeight(nowMs), this.options.maxWeight - 1);
    this.set((this.mean * before + value) / (before + 1), before + 1, nowMs);
  }

  /** Keeps the mean with at most this weight. */
  setMaxWeight(weight: number, nowMs: number): void {
    this.set(this.mean, Math.min(this.getWeight(nowMs), weight), nowMs);
  }

  /** Replaces the samples. */
  set(mean: number, weight: number, atMs: number): void {
    this.mean = mean;
    this.weight = Math.min(weight, this.options.maxWeight);
    this.updatedMs = atMs;
  }

  /** The mean without a prior. */
  get value(): number {
    return this.mean;
  }
}
