/** Injectable source of random numbers, so that every run can be reproduced from its seed. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniformly distributed random numbers. */
export abstract class RandomSource {
  /** Returns a number in [0, 1). */
  abstract getFloat(): number;

  /** Returns an integer in [0, `bound`). */
  getInteger(bound: number): number {
    return Math.floor(this.getFloat() * bound);
  }

  /** Returns an exponentially distributed number with mean `mean`. */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFloat());
  }

  /** Varies `delayMs` uniformly by ±`share`, so that peers that start together desynchronize. */
  getJittered(delayMs: number, share = 0.2): number {
    return delayMs * (1 - share + 2 * share * this.getFloat());
  }
}

/**
 * Outputs that are discarded after seeding. The generator's initial state is nearly all zeros or
 * ones, so its first outputs hardly depend on the seed: all processes would start with the same
 * jitter, and a fleet that starts at once would poll in a burst. After 64 steps the seed affects
 * every bit of the state.
 */
const WARM_UP_STEPS = 64;

/**
 * A deterministic generator: equal seeds yield equal sequences.
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
