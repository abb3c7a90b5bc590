/** Entries of the audit log, each of which records one operation of an operator and its result. */

/** An entry of the audit log. */
export interface IAuditEntry {
  readonly atMs: number;
  /** Identifier of the operator's key, or "anonymous". */
  readonly operator: string;
  /** The member whose resources were affected. */
  readonly member: string;
  /** The attempted operation, such as "plan.confirm". */
  readonly action: string;
  /** Identifier of the affected resource, such as a plan. */
  readonly subject: string;
  /** The result code; 0 on success. */
  readonly code: number;
  readonly note: string;
}

/**
 * Encodes an entry as the row's text.
 *
 * @example
 * encodeAuditEntry(entry);
 */
export function encodeAuditEntry(entry: IAuditEntry): string {
  return JSON.stringify(entry);
}

/**
 * Decodes the entry from a row's text.
 *
 * @example
 * decodeAuditEntry(row.value).action;
 */
export function decodeAuditEntry(text: string): IAuditEntry {
  return JSON.parse(text) as IAuditEntry;
}
