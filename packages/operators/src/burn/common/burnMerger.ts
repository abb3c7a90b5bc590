/** Merges the rows that nodes wrote into one row per member and slot. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { ITableRow, ITableWrite, TableService } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';
import { mergeServiceCounts, SLOT_MS } from './burnCounts.js';
import {
  decodeRawRow,
  decodeSlotRow,
  RETAINED_SLOTS,
  mergeBySlot,
  parseRawInstant,
  parseSlotStart,
  RAW_PREFIX,
} from './burnRows.js';

/** Minimum age of a mergeable row, in ms. Until then its writer may retry a write without a response. */
export const MIN_MERGE_AGE_MS = 600_000;
const DEFAULT_INTERVAL_MS = 300_000;
const MERGE_BATCH_SIZE = 100;

/** Options of a {@link BurnMerger}. */
export interface IBurnMergerOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Mean interval between two rounds, in ms. Default 300000. */
  readonly intervalMs?: number;
}

/**
 * Merges rows periodically on every node. If two nodes merge the same rows concurrently, only one of
 * the two transactions commits.
 *
 * @example
 * await merger.runRound(signal);
 */
export class BurnMerger {
  constructor(private readonly options: IBurnMergerOptions) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    const intervalMs = this.options.intervalMs ?? DEFAULT_INTERVAL_MS;
    while (!signal.aborted) {
      // Full jitter: nodes that started together must not all scan at the same time.
      await clock.sleep(random.getFloat() * 2 * intervalMs, signal).catch(() => undefined);
      await this.runRound(signal);
    }
  }

  /** Merges all rows that are old enough, in batches. After a store failure the next round retries. */
  async runRound(signal: AbortSignal): Promise<void> {
    try {
      while (!signal.aborted) {
        const rows = await this.scanMergeable(signal);
        if (rows.length === 0 || !(await this.merge(rows, signal))) return;
      }
    } catch (error) {
      if (!(error instanceof PlatformError) && !signal.aborted) throw error;
    }
  }

  private async scanMergeable(signal: AbortSignal): Promise<readonly ITableRow[]> {
    const { table, clock } = this.options;
    const rows = await table.scan({ prefix: RAW_PREFIX, limit: MERGE_BATCH_SIZE }, signal);
    const newestMs = clock.getWallTime() - MIN_MERGE_AGE_MS;
    return rows.filter((row) => parseRawInstant(row.key) <= newestMs);
  }

  /** Returns false if another node merged some of the rows concurrently. */
  private async merge(rows: readonly ITableRow[], signal: AbortSignal): Promise<boolean> {
    const { table } = this.options;
    const sums = mergeBySlot(rows.flatMap(decodeRawRow));
    const keys = [...sums.keys()];
    const merged = await table.read(keys, signal);
    const mergedByKey = new Map(merged.map((row) => [row.key, row]));
    const conditions = [
      ...rows.map(({ key, version }) => ({ key, version })),
      ...keys.map((key) => ({ key, version: mergedByKey.get(key)?.version ?? 0 })),
    ];
    const writes: ITableWrite[] = rows.map(({ key }) => ({ key, value: null }));
    for (const [key, counts] of sums) {
      const total = mergeServiceCounts(decodeSlotRow(mergedByKey.get(key)), counts);
      writes.push(
        { key, value: JSON.stringify(total) },
        { key: formatExpiredSlotKey(key), value: null },
      );
    }
    return (await table.transact({ conditions, writes }, signal)).committed;
  }
}

/** Key of the row that leaves the longest window when the row of `key` is added. */
function formatExpiredSlotKey(key: string): string {
  const slotMs = parseSlotStart(key);
  const prefix = key.slice(0, key.lastIndexOf('/') + 1);
  const expired = String(Math.max(0, slotMs - RETAINED_SLOTS * SLOT_MS));
  return prefix + expired.padStart(key.length - prefix.length, '0');
}
