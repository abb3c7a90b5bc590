/**
 * Rows of the counts. Each node inserts what it counted under `burn/raw/`; whoever comes first
 * merges those rows into one for each member and slot under `burn/slot/`, in one transaction that
 * removes what it merged, so that nothing is counted twice and the number of rows is bounded.
 */
import type { ITableRow } from '@parsleymux/store';
import type { IBurnCounts, ServiceCounts } from './burnCounts.js';
import { addCounts, NO_COUNTS } from './burnCounts.js';

/** Prefix of the rows that nodes insert, until they are merged. */
export const RAW_PREFIX = 'burn/raw/';
/** Slots kept of each member: the longest window, three days, and the slot that is running. */
export const RETAINED_SLOTS = 865;

const INSTANT_DIGITS = 14;

/** What one node counted of one service in one slot. */
export interface IRawCounts extends IBurnCounts {
  readonly member: string;
  readonly service: string;
  readonly slotMs: number;
}

/**
 * Key of what a node wrote at an instant. The instant is that of the writing, not of the counts:
 * merging waits by it until no try of the same write can still arrive.
 *
 * @example
 * formatRawKey(1700000000000, 'node-a', 7);
 */
export function formatRawKey(writtenAtMs: number, writer: string, sequence: number): string {
  return `${RAW_PREFIX}${formatInstant(writtenAtMs)}/${writer}/${sequence}`;
}

/**
 * The instant in a raw row's key, in ms since the Unix epoch.
 *
 * @example
 * parseRawInstant(row.key);
 */
export function parseRawInstant(key: string): number {
  return Number(key.slice(RAW_PREFIX.length, RAW_PREFIX.length + INSTANT_DIGITS));
}

/**
 * Prefix of the merged rows of a member.
 *
 * @example
 * formatSlotPrefix('dobrescu'); // 'burn/slot/dobrescu/'
 */
export function formatSlotPrefix(member: string): string {
  return `burn/slot/${member}/`;
}

/**
 * Key of the merged row of a member and slot; keys sort by time.
 *
 * @example
 * formatSlotKey('dobrescu', getSlotStart(nowMs));
 */
export function formatSlotKey(member: string, slotMs: number): string {
  return formatSlotPrefix(member) + formatInstant(Math.max(0, slotMs));
}

/**
 * The slot's start in a merged row's key.
 *
 * @example
 * parseSlotStart(row.key);
 */
export function parseSlotStart(key: string): number {
  return Number(key.slice(-INSTANT_DIGITS));
}

/** Requests, failed and slow ones of each service, by member and slot. */
type PackedCounts = Record<string, Record<string, Record<string, [number, number, number]>>>;

/**
 * The value of a raw row. An entry of a large fleet serves every service, and hands in a row a
 * minute: with every name repeated, 980 services would take all that a node may send for control.
 *
 * @example
 * const value = encodeRawCounts(counts);
 */
export function encodeRawCounts(counts: readonly IRawCounts[]): string {
  const packed: PackedCounts = {};
  for (const { member, service, slotMs, requests, failed, slow } of counts) {
    const slots = (packed[member] ??= {});
    const services = (slots[String(slotMs)] ??= {});
    services[service] = [requests, failed, slow];
  }
  return JSON.stringify(packed);
}

/**
 * The counts in a raw row.
 *
 * @example
 * decodeRawRow(row).length;
 */
export function decodeRawRow(row: ITableRow): readonly IRawCounts[] {
  const packed = JSON.parse(row.value) as PackedCounts;
  return Object.entries(packed).flatMap(([member, slots]) => {
    return Object.entries(slots).flatMap(([slotMs, services]) => {
      return Object.entries(services).map(([service, [requests, failed, slow]]) => {
        return { member, service, slotMs: Number(slotMs), requests, failed, slow };
      });
    });
  });
}

/**
 * The counts in a merged row; none when there is no row.
 *
 * @example
 * decodeSlotRow(rows.get(key));
 */
export function decodeSlotRow(row: ITableRow | undefined): ServiceCounts {
  return row === undefined ? {} : (JSON.parse(row.value) as ServiceCounts);
}

/**
 * Raw counts added up by member and slot; the keys are those of the merged rows.
 *
 * @example
 * const bySlot = mergeBySlot(rawCounts);
 */
export function mergeBySlot(counts: readonly IRawCounts[]): ReadonlyMap<string, ServiceCounts> {
  const sums = new Map<string, Record<string, IBurnCounts>>();
  for (const entry of counts) {
    const key = formatSlotKey(entry.member, entry.slotMs);
    const services = sums.get(key) ?? {};
    services[entry.service] = addCounts(services[entry.service] ?? NO_COUNTS, entry);
    sums.set(key, services);
  }
  return sums;
}

function formatInstant(atMs: number): string {
  return String(Math.trunc(atMs)).padStart(INSTANT_DIGITS, '0');
}
