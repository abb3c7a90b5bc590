/** Rows of operator keys in the platform's table. */

/** Stored data of a key. */
export interface IKeyRow {
  readonly id: string;
  readonly member: string;
  /** SHA-256 of the secret, in hexadecimal. */
  readonly hash: string;
  readonly note: string;
  /** Identifier of the key whose operator created this one. */
  readonly createdBy: string;
  readonly createdAtMs: number;
  /** Wall time from which the key is rejected, in ms since the Unix epoch; 0 for none. */
  readonly endsAtMs: number;
}

/**
 * Formats the prefix of the row keys of a member's operator keys.
 *
 * @example
 * formatKeyPrefix('dobrescu'); // 'keys/dobrescu/'
 */
export function formatKeyPrefix(member: string): string {
  return `keys/${member}/`;
}

/**
 * Formats the row key of an operator key.
 *
 * @example
 * formatKeyRowKey('dobrescu', '0011223344aa');
 */
export function formatKeyRowKey(member: string, id: string): string {
  return formatKeyPrefix(member) + id;
}

/**
 * Returns whether the key is accepted at a time, in ms since the Unix epoch.
 *
 * @example
 * isKeyInForce(row, clock.getWallTime());
 */
export function isKeyInForce(row: IKeyRow, nowMs: number): boolean {
  return row.endsAtMs === 0 || nowMs < row.endsAtMs;
}
