/** Randomness as an injected service, so that every run can be repeated from its seed. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Uniform random numbers. */
export abstract class RandomSource {
  /** A number in [0, 1). */
  abstract getFloat(): number;

  /** An integer in [0, `bound`). */
  getInteger(bound: number): number {
    return Math.floor(this.getFloat() * bound);
  }

  /** An exponentially distributed number with mean `mean`. */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFloat());
  }

  /** `delayMs` spread uniformly over ±`share`, so that peers that start together drift apart. */
  getJittered(delayMs: number, share = 0.2): number {
    return delayMs * (1 - share + 2 * share * this.getFloat());
  }
}

/**
 * The generator starts from a state of nearly all zeros or ones, so its first numbers hardly depend
 * on the seed: every process would begin with the same jitter, seen as a burst of polls when a
 * whole fleet starts at once. By this many steps the seed has reached every bit.
 */
const WARM_UP_STEPS = 64;

/**
 * Numbers that follow from a seed.
 *
 * @example
 * const random = new SeededRandom(42);
 * random.getInteger(6);
 */
export class SeededRandom extends RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
    for (let step = 0; step < WARM_UP_STEPS; step += 1) this.generator.next();
  }

  override getFloat(): number {
    return (this.generator.next() >>> 0) / 0x1_0000_0000;
  }
}
