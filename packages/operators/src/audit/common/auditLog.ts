/** Stores the audit log in the platform's table. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '@parsleymux/base';
import { MS_PER_DAY } from '@parsleymux/base';
import type { IAuditEntry } from '@parsleymux/config';
import {
  createStoreError,
  decodeAuditEntry,
  encodeAuditEntry,
  formatAuditKey,
  formatAuditPrefix,
} from '@parsleymux/config';
import type { ITableRow, TableService } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';

const SCAN_LIMIT = 1000;
/** Time spans that are scanned in turn until there are enough entries; the last is the retention. */
const SCAN_SPANS_DAYS = [1, 7, 30, 90] as const;
/** Entries older than this are removed, one batch at a time, whenever the log is read. */
const RETENTION_DAYS = 90;
const REMOVAL_BATCH_SIZE = 100;

/** Options of an {@link AuditLog}. */
export interface IAuditLogOptions {
  readonly table: TableService;
  readonly clock: Clock;
}

/**
 * Appends and lists entries. A change that is a transaction writes its entry in that transaction;
 * this class records rejections and all other entries.
 *
 * @example
 * await audit.record(entry);
 */
export class AuditLog {
  private lostCount = 0;

  constructor(private readonly options: IAuditLogOptions) {}

  /** Number of entries that could not be written. */
  getLostCount(): number {
    return this.lostCount;
  }

  /** Writes an entry. If the store fails, the entry is lost; the operator's request is not affected. */
  async record(entry: IAuditEntry, signal?: AbortSignal): Promise<void> {
    try {
      await this.writeEntry(entry, signal);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.lostCount += 1;
    }
  }

  /** Writes an entry that is required before the operation continues. Throws StoreUnavailable. */
  async recordRequired(entry: IAuditEntry, signal?: AbortSignal): Promise<void> {
    try {
      await this.writeEntry(entry, signal);
    } catch (error) {
      if (error instanceof PlatformError) throw createStoreError(false, error);
      throw error;
    }
  }

  /** Lists the newest entries, newest first. Throws StoreUnavailable. */
  async list(member: string, limit: number, signal?: AbortSignal): Promise<readonly IAuditEntry[]> {
    try {
      await this.removeExpired(member, signal);
      let rows: readonly ITableRow[] = [];
      for (const days of SCAN_SPANS_DAYS) {
        rows = await this.scanSince(member, this.getNowMs() - days * MS_PER_DAY, signal);
        if (rows.length >= limit) break;
      }
      return rows
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

  private async scanSince(
    member: string,
    sinceMs: number,
    signal?: AbortSignal,
  ): Promise<readonly ITableRow[]> {
    const prefix = formatAuditPrefix(member);
    const found: ITableRow[] = [];
    let after = formatAuditKey(member, Math.max(0, sinceMs), '');
    for (;;) {
      const rows = await this.options.table.scan({ prefix, limit: SCAN_LIMIT, after }, signal);
      found.push(...rows);
      after = rows.at(-1)?.key ?? after;
      if (rows.length < SCAN_LIMIT) return found;
    }
  }

  private async removeExpired(member: string, signal?: AbortSignal): Promise<void> {
    const prefix = formatAuditPrefix(member);
    const oldest = await this.options.table.scan({ prefix, limit: REMOVAL_BATCH_SIZE }, signal);
    const limit = formatAuditKey(
      member,
      Math.max(0, this.getNowMs() - RETENTION_DAYS * MS_PER_DAY),
      '',
    );
    const writes = oldest.filter(({ key }) => key < limit).map(({ key }) => ({ key, value: null }));
    if (writes.length > 0) await this.options.table.transact({ conditions: [], writes }, signal);
  }

  private getNowMs(): number {
    return Math.trunc(this.options.clock.getWallTime());
  }
}
