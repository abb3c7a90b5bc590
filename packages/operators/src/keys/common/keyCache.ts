/** Caches rows of operator keys, so that not every request reads the store. */
import type { Clock } from '@parsleymux/base';
import { createStoreError } from '@parsleymux/config';
import type { TableService } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';
import type { IKeyRow } from './keyRow.js';

/** Maximum age of a cached row. Every node rejects a revoked key after this time. */
const MAX_AGE_MS = 5000;
/** Maximum age while the store is unavailable, so that recent operators can still read the status. */
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
 * Reads rows of keys through a bounded cache. Only rows that exist are cached, so that invented keys
 * can't evict valid ones.
 *
 * @example
 * const row = await cache.read('keys/dobrescu/0011223344aa');
 */
export class KeyCache {
  private readonly entries = new Map<string, ICachedRow>();

  constructor(private readonly options: IKeyCacheOptions) {}

  /** Returns the row, or undefined if there is none. Throws StoreUnavailable. */
  async read(rowKey: string, signal?: AbortSignal): Promise<IKeyRow | undefined> {
    const cached = this.entries.get(rowKey);
    const ageMs = this.getNow() - (cached?.readAtMs ?? -Infinity);
    if (cached !== undefined && ageMs <= MAX_AGE_MS) return cached.row;
    try {
      const [row] = await this.options.table.read([rowKey], signal);
      if (row === undefined) {
        this.entries.delete(rowKey);
        return undefined;
      }
      return this.putEntry(rowKey, JSON.parse(row.value) as IKeyRow);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      if (cached !== undefined && ageMs <= MAX_OUTAGE_AGE_MS) return cached.row;
      throw createStoreError(false, error);
    }
  }

  /** Removes a row, so that the next read goes to the store. */
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
