/** Reads a member's counts of the last three days and computes its burn rates. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import { MS_PER_SECOND } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import { createStoreError } from '@parsleymux/config';
import type { ITableRow, TableService } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';
import type { BurnResponse, Service, ServiceBurn } from '@parsleymux/schema';
import {
  BurnCountsSchema,
  BurnPointSchema,
  BurnResponseSchema,
  ServiceBurnSchema,
} from '@parsleymux/schema';
import type { ServiceCounts } from './burnCounts.js';
import { getSlotStart, mergeServiceCounts, SLOT_MS } from './burnCounts.js';
import type { ISlotCounts } from './burnRates.js';
import { computeWindowBurns, listAlerts, toCountsMessage } from './burnRates.js';
import {
  decodeRawRow,
  decodeSlotRow,
  formatSlotKey,
  formatSlotPrefix,
  RETAINED_SLOTS,
  mergeBySlot,
  parseSlotStart,
  RAW_PREFIX,
} from './burnRows.js';

const SCAN_LIMIT = 1000;
/** Scans that are tried: a merge between two scans hides the rows that it moved, so both are repeated. */
const MAX_SCAN_ATTEMPTS = 3;

/** Options of a {@link BurnReader}. */
export interface IBurnReaderOptions {
  readonly table: TableService;
  readonly config: ConfigService;
  readonly clock: Clock;
}

/**
 * Builds the burn report of one member.
 *
 * @example
 * const report = await reader.getReport('dobrescu', signal);
 */
export class BurnReader {
  constructor(private readonly options: IBurnReaderOptions) {}

  /** Returns the burn of each service in force. Throws StoreUnavailable. */
  async getReport(member: string, signal?: AbortSignal): Promise<BurnResponse> {
    const nowMs = this.options.clock.getWallTime();
    const slots = await this.readSlots(member, nowMs, signal);
    const intent = this.options.config.getCurrent().members.get(member)?.intent;
    const services = (intent?.services ?? []).map((service) =>
      buildServiceBurn(service, slots, nowMs),
    );
    return create(BurnResponseSchema, { atMs: BigInt(Math.trunc(nowMs)), services });
  }

  private async readSlots(
    member: string,
    nowMs: number,
    signal?: AbortSignal,
  ): Promise<ReadonlyMap<string, ServiceCounts>> {
    try {
      let raw = await this.scanAll(RAW_PREFIX, '', signal);
      for (let count = 1; ; count += 1) {
        const after = formatSlotKey(member, getSlotStart(nowMs) - RETAINED_SLOTS * SLOT_MS);
        const merged = await this.scanAll(formatSlotPrefix(member), after, signal);
        const rawAfter = await this.scanAll(RAW_PREFIX, '', signal);
        if (!hasRemovedRows(raw, rawAfter) || count === MAX_SCAN_ATTEMPTS)
          return mergeRows(member, merged, raw);
        raw = rawAfter;
      }
    } catch (error) {
      if (error instanceof PlatformError) throw createStoreError(false, error);
      throw error;
    }
  }

  private async scanAll(
    prefix: string,
    from: string,
    signal?: AbortSignal,
  ): Promise<readonly ITableRow[]> {
    const found: ITableRow[] = [];
    let after = from;
    for (;;) {
      const range = after === '' ? {} : { after };
      const rows = await this.options.table.scan({ prefix, limit: SCAN_LIMIT, ...range }, signal);
      found.push(...rows);
      after = rows.at(-1)?.key ?? after;
      if (rows.length < SCAN_LIMIT) return found;
    }
  }
}

/** Whether raw rows were merged between the scans, before or after the merged rows were read. */
function hasRemovedRows(before: readonly ITableRow[], after: readonly ITableRow[]): boolean {
  const remaining = new Set(after.map((row) => row.key));
  return before.some((row) => !remaining.has(row.key));
}

function mergeRows(
  member: string,
  merged: readonly ITableRow[],
  raw: readonly ITableRow[],
): ReadonlyMap<string, ServiceCounts> {
  const slots = new Map(merged.map((row) => [row.key, decodeSlotRow(row)]));
  const memberCounts = raw.flatMap(decodeRawRow).filter((counts) => counts.member === member);
  for (const [key, counts] of mergeBySlot(memberCounts)) {
    slots.set(key, mergeServiceCounts(slots.get(key) ?? {}, counts));
  }
  return slots;
}

function buildServiceBurn(
  service: Service,
  slots: ReadonlyMap<string, ServiceCounts>,
  nowMs: number,
): ServiceBurn {
  const serviceSlots: ISlotCounts[] = [...slots].flatMap(([key, services]) => {
    const counts = services[service.name];
    return counts === undefined ? [] : [{ slotMs: parseSlotStart(key), counts }];
  });
  serviceSlots.sort((left, right) => left.slotMs - right.slotMs);
  const windows = computeWindowBurns(serviceSlots, service.objective, nowMs);
  return create(ServiceBurnSchema, {
    service: service.name,
    ...(service.objective === undefined ? {} : { objective: service.objective }),
    windows: [...windows],
    points: serviceSlots.map(({ slotMs, counts }) =>
      create(BurnPointSchema, {
        startMs: BigInt(slotMs),
        durationS: SLOT_MS / MS_PER_SECOND,
        counts: create(BurnCountsSchema, toCountsMessage(counts)),
      }),
    ),
    alerts: [...listAlerts(windows)],
  });
}
