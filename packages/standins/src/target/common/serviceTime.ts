/** Samples service times. */
import type { RandomSource } from '@parsleymux/base';

/**
 * Returns a log-normally distributed time with mean `meanMs`; `sigma` is the standard deviation of its
 * logarithm.
 *
 * @example
 * sampleServiceTime(new SeededRandom(1), 20, 0.5);
 */
export function sampleServiceTime(random: RandomSource, meanMs: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.getFloat()));
  const normal = radius * Math.cos(2 * Math.PI * random.getFloat());
  return meanMs * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
