/**
 * The platform's transactional table: rows of text under text keys, each with a version that
 * increases by one with every write. It sustains several hundred writes and about two thousand
 * reads per second, and can be unavailable for hours. A response can be lost after its write took
 * effect.
 */

/** A row as read. */
export interface ITableRow {
  readonly key: string;
  readonly value: string;
  /**
   * Starts at 1 with the first row of a key and increases by one with each write. A row recreated
   * after a deletion continues the count, so that no condition on the deleted row holds for it.
   */
  readonly version: number;
}

/** A condition that a row must meet before a transaction writes anything. */
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

/** Writes that take effect together, or not at all when a condition fails. */
export interface ITableTransaction {
  readonly conditions: readonly ITableCondition[];
  readonly writes: readonly ITableWrite[];
}

/** Result of a transaction. */
export interface ITransactionResult {
  readonly committed: boolean;
  /** When not committed: the current rows of the failed conditions; absent rows are omitted. */
  readonly conflicts: readonly ITableRow[];
}

/** Options of {@link TableService.scan}, which returns rows in the order of their keys. */
export interface IScanOptions {
  readonly prefix: string;
  /** Only keys after this one. Default: from the first key. */
  readonly after?: string;
  /** Maximum number of rows. Default and upper bound: 1000. */
  readonly limit?: number;
}

/** How a call to the platform failed. */
export const PlatformFailure = {
  /** The request was never sent and certainly had no effect. */
  NotSent: 'not-sent',
  /** No usable response arrived: a write may or may not have taken effect. */
  Unknown: 'unknown',
  /** The platform refused the request, which had no effect. */
  Refused: 'refused',
} as const;

export type PlatformFailure = (typeof PlatformFailure)[keyof typeof PlatformFailure];

/** Reads and writes the table. Every call rejects with a PlatformError when it fails. */
export abstract class TableService {
  /** Reads rows by key; absent rows are omitted. */
  abstract read(keys: readonly string[], signal?: AbortSignal): Promise<readonly ITableRow[]>;

  /** Reads rows whose keys begin with a prefix. */
  abstract scan(options: IScanOptions, signal?: AbortSignal): Promise<readonly ITableRow[]>;

  /**
   * Applies all writes or none.
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
