/** A fast non-cryptographic hash for placement. It does not resist chosen inputs. */
import xxhash from 'xxhash-wasm';

const api = await xxhash();

/**
 * Returns the 32-bit xxHash of `text` as an unsigned integer.
 *
 * @example
 * hashToInteger('booking@north', 7);
 */
export function hashToInteger(text: string, seed = 0): number {
  return api.h32(text, seed);
}
