/** Conversion of numbers to the integer fields of messages. */

const MAX_UINT32 = 0xffff_ffff;
const MAX_SINT32 = 0x7fff_ffff;

/**
 * Rounds to the nearest value that a field of type uint32 can hold. Times, rates and settings are any numbers,
 * and a message with a number that its field can't hold can't be encoded.
 *
 * @example
 * toUint32(512.5); // 513
 * toUint32(-1); // 0
 */
export function toUint32(value: number): number {
  return toInteger(value, 0, MAX_UINT32);
}

/**
 * Rounds to the nearest value that a field of type sint32 can hold.
 *
 * @example
 * toSint32(-0.7); // -1
 */
export function toSint32(value: number): number {
  return toInteger(value, -MAX_SINT32, MAX_SINT32);
}

function toInteger(value: number, min: number, max: number): number {
  return Number.isNaN(value) ? 0 : Math.min(max, Math.max(min, Math.round(value)));
}
