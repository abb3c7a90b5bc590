/** A fast hash for placement; not for anything that must resist an adversary. */
import xxhash from 'xxhash-wasm';

const api = await xxhash();

/**
 * 32-bit xxHash of `text`, as an unsigned integer.
 *
 * @example
 * hashToInteger('booking@north', 7);
 */
export function hashToInteger(text: string, seed = 0): number {
  return api.h32(text, seed);
}
