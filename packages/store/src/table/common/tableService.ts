/**
 * The platform's transactional table: rows of text under text keys, each with a version that
 * grows by one on every write. Several hundred writes and about two thousand reads a second
 * are what it carries, with outages of hours; an answer can be lost after its write took effect.
 */

/** A row as read. */
export interface ITableRow {
  readonly key: string;
  readonly value: string;
  /**
   * 1 for the first row that its key ever had, growing by one with each write. A row made again
   * after a deletion goes on counting, so that no condition on the former row holds for it.
   */
  readonly version: number;
}

/** What a transaction requires of one row before anything is written. */
export interface ITableCondition {
  readonly key: string;
  /** The version that the row must have; 0 when it must not exist. */
  readonly version: number;
}

/** One write of a transaction. */
export interface ITableWrite {
  readonly key: string;
  /** The new value, or null to delete the row. */
  readonly value: string | null;
}

/** Conditions and writes that take effect together or not at all. */
export interface ITableTransaction {
  readonly conditions: readonly ITableCondition[];
  readonly writes: readonly ITableWrite[];
}

/** What became of a transaction. */
export interface ITransactionResult {
  readonly committed: boolean;
  /** When not committed: the rows of the conditions that failed, as they are; absent rows are left out. */
  readonly conflicts: readonly ITableRow[];
}

/** Which rows a scan returns, in the order of their keys. */
export interface IScanOptions {
  readonly prefix: string;
  /** Only keys after this one. Default: from the first. */
  readonly after?: string;
  /** Default and largest: 1000 rows. */
  readonly limit?: number;
}

/** Why a call to the platform gave no answer. */
export const PlatformFailure = {
  /** Provably nothing was done: the request never left. */
  NotSent: 'not-sent',
  /** No answer came: a write may or may not have taken effect. */
  Unknown: 'unknown',
  /** The platform refused it; nothing was done. */
  Refused: 'refused',
} as const;

export type PlatformFailure = (typeof PlatformFailure)[keyof typeof PlatformFailure];

/** Access to the table. Every call rejects with a PlatformError when no answer came. */
export abstract class TableService {
  /** Reads rows by key; absent rows are left out. */
  abstract read(keys: readonly string[], signal?: AbortSignal): Promise<readonly ITableRow[]>;

  /** Reads rows whose keys begin with a prefix. */
  abstract scan(options: IScanOptions, signal?: AbortSignal): Promise<readonly ITableRow[]>;

  /**
   * Writes all or nothing.
   *
   * @example
   * await table.transact({
   *   conditions: [{ key: 'claim/a', version: 0 }],
   *   writes: [{ key: 'claim/a', value: '{}' }],
   * });
   */
  abstract transact(
    transaction: ITableTransaction,
    signal?: AbortSignal,
  ): Promise<ITransactionResult>;
}
