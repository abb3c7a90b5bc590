/** A fast non-cryptographic hash for placement. It does not resist chosen inputs. */

const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;
/** Bytes that are mixed in one round of the four lanes. */
const STRIPE_BYTES = 16;
const WORD_BYTES = 4;
const LANES = 4;
const MAX_BYTES_PER_CHAR = 3;
const MAX_ASCII = 0x7f;

const encoder = new TextEncoder();
const lanes = new Int32Array(LANES);
let bytes = new Uint8Array(256);

/**
 * Returns the 32-bit xxHash of `text` in UTF-8 as an unsigned integer.
 *
 * @example
 * hashToInteger('booking@north', 7);
 */
export function hashToInteger(text: string, seed = 0): number {
  const mostBytes = text.length * MAX_BYTES_PER_CHAR;
  if (bytes.length < mostBytes) bytes = new Uint8Array(mostBytes);
  const length = encodeText(text);
  const stripesEnd = length - (length % STRIPE_BYTES);
  let hash = (computeStripes(stripesEnd, seed) + length) | 0;
  let offset = stripesEnd;
  for (; offset + WORD_BYTES <= length; offset += WORD_BYTES) {
    hash = Math.imul(rotate((hash + Math.imul(readWord(offset), PRIME_3)) | 0, 17), PRIME_4);
  }
  for (; offset < length; offset += 1) {
    const byte = bytes[offset] ?? 0;
    hash = Math.imul(rotate((hash + Math.imul(byte, PRIME_5)) | 0, 11), PRIME_1);
  }
  hash = Math.imul(hash ^ (hash >>> 15), PRIME_2);
  hash = Math.imul(hash ^ (hash >>> 13), PRIME_3);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Writes the text in UTF-8 into the buffer; returns its bytes. Almost all texts are short and ASCII. */
function encodeText(text: string): number {
  const target = bytes;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code > MAX_ASCII) return encoder.encodeInto(text, target).written;
    target[index] = code;
  }
  return text.length;
}

/** Mixes all complete stripes; without one, the result depends on the seed alone. */
function computeStripes(stripesEnd: number, seed: number): number {
  if (stripesEnd === 0) return (seed + PRIME_5) | 0;
  lanes[0] = seed + PRIME_1 + PRIME_2;
  lanes[1] = seed + PRIME_2;
  lanes[2] = seed;
  lanes[3] = seed - PRIME_1;
  for (let offset = 0; offset < stripesEnd; offset += STRIPE_BYTES) {
    for (let lane = 0; lane < LANES; lane += 1) {
      const word = Math.imul(readWord(offset + lane * WORD_BYTES), PRIME_2);
      lanes[lane] = Math.imul(rotate(((lanes[lane] ?? 0) + word) | 0, 13), PRIME_1);
    }
  }
  const [a = 0, b = 0, c = 0, d = 0] = lanes;
  return (rotate(a, 1) + rotate(b, 7) + rotate(c, 12) + rotate(d, 18)) | 0;
}

function readWord(offset: number): number {
  const high = ((bytes[offset + 3] ?? 0) << 24) | ((bytes[offset + 2] ?? 0) << 16);
  return high | ((bytes[offset + 1] ?? 0) << 8) | (bytes[offset] ?? 0);
}

function rotate(value: number, bits: number): number {
  return (value << bits) | (value >>> (32 - bits));
}
