/** Extracts the creation time of idempotency keys that contain one. */

/** A version 7 UUID (RFC 9562): 48 bits of Unix time in ms, followed by the version. */
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEXADECIMAL = 16;

/**
 * Returns the creation time of a key in ms since the Unix epoch, or undefined if the key contains none.
 *
 * @example
 * getKeyTime('018bcfe5-6800-7000-8000-000000000000'); // 1700000000000
 */
export function getKeyTime(idempotencyKey: string): number | undefined {
  const match = UUID_V7.exec(idempotencyKey);
  if (match === null) return undefined;
  return parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, HEXADECIMAL);
}
