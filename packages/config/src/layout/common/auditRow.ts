/** One line of the audit log: who did what to which member's things, and what came of it. */

/** An entry of the audit log. */
export interface IAuditEntry {
  readonly atMs: number;
  /** The operator, as its key's identifier, or "anonymous". */
  readonly operator: string;
  /** Whose things it was about. */
  readonly member: string;
  /** What was done or tried, such as "plan.confirm". */
  readonly action: string;
  /** What it was done to, such as a plan's identifier. */
  readonly subject: string;
  /** The result code; 0 when it was done. */
  readonly code: number;
  readonly note: string;
}

/**
 * The row's text.
 *
 * @example
 * encodeAuditEntry(entry);
 */
export function encodeAuditEntry(entry: IAuditEntry): string {
  return JSON.stringify(entry);
}

/**
 * The entry in a row's text.
 *
 * @example
 * decodeAuditEntry(row.value).action;
 */
export function decodeAuditEntry(text: string): IAuditEntry {
  return JSON.parse(text) as IAuditEntry;
}
