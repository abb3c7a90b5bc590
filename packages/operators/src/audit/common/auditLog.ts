/** The audit log in the platform's table. */
import { randomUUID } from 'node:crypto';
import type { IAuditEntry } from '@parsleymux/config';
import {
  createStoreError,
  decodeAuditEntry,
  encodeAuditEntry,
  formatAuditKey,
  formatAuditPrefix,
} from '@parsleymux/config';
import type { TableService } from '@parsleymux/platform';
import { PlatformError } from '@parsleymux/platform';

const SCAN_LIMIT = 1000;
/** Entries that a member's log keeps; beyond it the oldest go. */
const DEFAULT_MAX_ENTRIES = 20_000;
const TRIM_BATCH = 100;

/** Options of an {@link AuditLog}. */
export interface IAuditLogOptions {
  readonly table: TableService;
  /** Entries kept for each member. Default 20000. */
  readonly maxEntries?: number;
}

/**
 * Appends and lists entries. Changes that are transactions write their entry in the same
 * transaction; this class serves refusals and everything else.
 *
 * @example
 * await audit.record(entry);
 */
export class AuditLog {
  private lostCount = 0;

  constructor(private readonly options: IAuditLogOptions) {}

  /** Entries that could not be written. */
  getLostCount(): number {
    return this.lostCount;
  }

  /** Writes an entry. A store that fails costs the entry, never the operator's answer. */
  async record(entry: IAuditEntry, signal?: AbortSignal): Promise<void> {
    try {
      await this.writeEntry(entry, signal);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.lostCount += 1;
    }
  }

  /** Writes an entry without which the operation must not go on. Throws StoreUnavailable. */
  async recordRequired(entry: IAuditEntry, signal?: AbortSignal): Promise<void> {
    try {
      await this.writeEntry(entry, signal);
    } catch (error) {
      if (error instanceof PlatformError) throw createStoreError(false, error);
      throw error;
    }
  }

  /** The newest entries, newest first. Throws StoreUnavailable. */
  async list(member: string, limit: number, signal?: AbortSignal): Promise<readonly IAuditEntry[]> {
    try {
      const keys = await this.scanAll(member, signal);
      await this.removeExcess(keys, signal);
      return keys
        .slice(-limit)
        .reverse()
        .map(({ value }) => decodeAuditEntry(value));
    } catch (error) {
      if (error instanceof PlatformError) throw createStoreError(false, error);
      throw error;
    }
  }

  private async writeEntry(entry: IAuditEntry, signal?: AbortSignal): Promise<void> {
    const key = formatAuditKey(entry.member, Math.trunc(entry.atMs), randomUUID());
    const writes = [{ key, value: encodeAuditEntry(entry) }];
    await this.options.table.transact({ conditions: [{ key, version: 0 }], writes }, signal);
  }

  private async scanAll(
    member: string,
    signal?: AbortSignal,
  ): Promise<readonly { readonly key: string; readonly value: string }[]> {
    const prefix = formatAuditPrefix(member);
    const found: { readonly key: string; readonly value: string }[] = [];
    let after: string | undefined;
    for (;;) {
      const range = after === undefined ? {} : { after };
      const rows = await this.options.table.scan({ prefix, limit: SCAN_LIMIT, ...range }, signal);
      found.push(...rows);
      after = rows.at(-1)?.key;
      if (rows.length < SCAN_LIMIT) return found;
    }
  }

  /** Keeps the log bounded, a batch at a time. */
  private async removeExcess(
    rows: readonly { readonly key: string }[],
    signal?: AbortSignal,
  ): Promise<void> {
    const excess = rows.length - (this.options.maxEntries ?? DEFAULT_MAX_ENTRIES);
    if (excess <= 0) return;
    const writes = rows.slice(0, Math.min(excess, TRIM_BATCH)).map(({ key }) => {
      return { key, value: null };
    });
    await this.options.table.transact({ conditions: [], writes }, signal);
  }
}
