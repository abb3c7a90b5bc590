/** Rows of keys as read lately, so that requests need not read the store each time. */
import type { Clock } from '@parsleymux/base';
import { createStoreError } from '@parsleymux/config';
import type { TableService } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';
import type { IKeyRow } from './keyRow.js';

/** A revoked key is refused by every node after this time. */
const MAX_AGE_MS = 5000;
/** With the store out, operators who were known shortly before can still look at the status. */
const MAX_OUTAGE_AGE_MS = 300_000;
const MAX_ENTRIES = 1000;

interface ICachedRow {
  readonly row: IKeyRow;
  readonly readAtMs: number;
}

/** Options of a {@link KeyCache}. */
export interface IKeyCacheOptions {
  readonly table: TableService;
  readonly clock: Clock;
}

/**
 * Reads rows of keys through a bounded cache. Only rows that exist are kept: whoever makes up
 * keys can't push those of others out.
 *
 * @example
 * const row = await cache.read('keys/dobrescu/0011223344aa');
 */
export class KeyCache {
  private readonly entries = new Map<string, ICachedRow>();

  constructor(private readonly options: IKeyCacheOptions) {}

  /** The row, or undefined when there is none. Throws StoreUnavailable. */
  async read(rowKey: string, signal?: AbortSignal): Promise<IKeyRow | undefined> {
    const known = this.entries.get(rowKey);
    const ageMs = this.getNow() - (known?.readAtMs ?? -Infinity);
    if (known !== undefined && ageMs <= MAX_AGE_MS) return known.row;
    try {
      const [row] = await this.options.table.read([rowKey], signal);
      if (row === undefined) {
        this.entries.delete(rowKey);
        return undefined;
      }
      return this.putEntry(rowKey, JSON.parse(row.value) as IKeyRow);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      if (known !== undefined && ageMs <= MAX_OUTAGE_AGE_MS) return known.row;
      throw createStoreError(false, error);
    }
  }

  /** Reads the row anew the next time. */
  clear(rowKey: string): void {
    this.entries.delete(rowKey);
  }

  private putEntry(rowKey: string, row: IKeyRow): IKeyRow {
    this.entries.delete(rowKey);
    this.entries.set(rowKey, { row, readAtMs: this.getNow() });
    const oldest = this.entries.keys().next();
    if (this.entries.size > MAX_ENTRIES && oldest.done !== true) this.entries.delete(oldest.value);
    return row;
  }

  private getNow(): number {
    return this.options.clock.getMonotonicTime();
  }
}
