/** Rows of operators' keys. */

/** What is stored of a key. */
export interface IKeyRow {
  readonly id: string;
  readonly member: string;
  /** SHA-256 of the secret, in hexadecimal. */
  readonly hash: string;
  readonly note: string;
  /** Identifier of the key that made this one. */
  readonly createdBy: string;
  readonly createdAtMs: number;
  /** Instant from which the key is refused; 0 for none. */
  readonly endsAtMs: number;
}

/**
 * Prefix of the rows of a member's keys.
 *
 * @example
 * formatKeyPrefix('dobrescu'); // 'keys/dobrescu/'
 */
export function formatKeyPrefix(member: string): string {
  return `keys/${member}/`;
}

/**
 * Key of the row of one operator's key.
 *
 * @example
 * formatKeyRowKey('dobrescu', '0011223344aa');
 */
export function formatKeyRowKey(member: string, id: string): string {
  return formatKeyPrefix(member) + id;
}

/**
 * Whether the key is accepted at an instant.
 *
 * @example
 * isKeyInForce(row, clock.getWallTime());
 */
export function isKeyInForce(row: IKeyRow, nowMs: number): boolean {
  return row.endsAtMs === 0 || nowMs < row.endsAtMs;
}
