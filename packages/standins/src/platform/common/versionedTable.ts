/**
 * An in-memory table with the recent history of each row, so that stale reads can be served.
 *
 * Versions: the first write of a key has version 1, and each further write adds one. Counting
 * continues after a deletion: a recreated row gets the version after the last one of that key.
 * Otherwise, a writer that read version 1 of the deleted row and was paused during the deletion
 * could pass its condition against the recreated row.
 */
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { KeyIndex } from './keyIndex.js';

const MAX_SCAN_ROWS = 1000;
const DEFAULT_HISTORY_MS = 60_000;

interface IRowState {
  readonly sinceMs: number;
  /** Null for a deleted row. */
  readonly value: string | null;
  readonly version: number;
}

/** Options of a {@link VersionedTable}. */
export interface IVersionedTableOptions {
  /** Maximum age of the instant of a read, in ms. Default 60000. */
  readonly historyMs?: number;
}

/**
 * A table with conditional transactions and reads as of an earlier instant.
 *
 * @example
 * const table = new VersionedTable();
 * table.transact({ conditions: [], writes: [{ key: 'a', value: '1' }] }, 0);
 * table.read(['a'], 0);
 */
export class VersionedTable {
  private readonly historyMs: number;
  private readonly states = new Map<string, IRowState[]>();
  /** All keys, including those of deleted rows. */
  private readonly index = new KeyIndex();

  constructor(options: IVersionedTableOptions = {}) {
    this.historyMs = options.historyMs ?? DEFAULT_HISTORY_MS;
  }

  /** Returns the rows of `keys` as of `instantMs`, without absent rows. */
  read(keys: readonly string[], instantMs: number): readonly ITableRow[] {
    return keys.flatMap((key) => this.getRow(key, instantMs) ?? []);
  }

  /** Returns the rows whose keys have a prefix, as of `instantMs`. */
  scan(options: IScanOptions, instantMs: number): readonly ITableRow[] {
    const limit = Math.min(options.limit ?? MAX_SCAN_ROWS, MAX_SCAN_ROWS);
    const rows: ITableRow[] = [];
    for (const key of this.index.list(options.prefix, options.after ?? '')) {
      const row = this.getRow(key, instantMs);
      if (row !== undefined) rows.push(row);
      if (rows.length >= limit) break;
    }
    return rows;
  }

  /** Applies all writes at `nowMs`, or none if a condition fails. */
  transact(transaction: ITableTransaction, nowMs: number): ITransactionResult {
    const failed = transaction.conditions.filter(({ key, version }) => {
      return (this.getRow(key, nowMs)?.version ?? 0) !== version;
    });
    if (failed.length > 0) {
      const keys = failed.map(({ key }) => key);
      return { committed: false, conflicts: this.read(keys, nowMs) };
    }
    for (const { key, value } of transaction.writes) this.writeRow(key, value, nowMs);
    return { committed: true, conflicts: [] };
  }

  private getRow(key: string, instantMs: number): ITableRow | undefined {
    const state = this.states.get(key)?.findLast(({ sinceMs }) => sinceMs <= instantMs);
    if (state === undefined || state.value === null) return undefined;
    return { key, value: state.value, version: state.version };
  }

  private writeRow(key: string, value: string | null, nowMs: number): void {
    const states = this.states.get(key) ?? this.addKey(key);
    const last = states.at(-1);
    const isAbsent = last === undefined || last.value === null;
    if (value === null && isAbsent) return;
    const version = (last?.version ?? 0) + (value === null ? 0 : 1);
    states.push({ sinceMs: nowMs, value, version });
    const horizonMs = nowMs - this.historyMs;
    while ((states[1]?.sinceMs ?? Infinity) <= horizonMs) states.shift();
  }

  private addKey(key: string): IRowState[] {
    const states: IRowState[] = [];
    this.states.set(key, states);
    this.index.add(key);
    return states;
  }
}
