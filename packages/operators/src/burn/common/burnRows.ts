/**
 * Keys and values of the rows with counts. Each node inserts its counts under `burn/raw/`. Any node
 * merges those rows into one row per member and slot under `burn/slot/`, and removes the merged rows
 * in the same transaction, so that no request is counted twice and the number of rows is bounded.
 */
import type { ITableRow } from '@parsleymux/store';
import type { IBurnCounts, ServiceCounts } from './burnCounts.js';
import { addCounts, NO_COUNTS } from './burnCounts.js';

/** Key prefix of the rows that nodes insert and that are not merged yet. */
export const RAW_PREFIX = 'burn/raw/';
/** Slots retained for each member: the longest window, three days, and the current slot. */
export const RETAINED_SLOTS = 865;

const INSTANT_DIGITS = 14;

/** Counts of one node for one service in one slot. */
export interface IRawCounts extends IBurnCounts {
  readonly member: string;
  readonly service: string;
  readonly slotMs: number;
}

/**
 * Formats the key of a raw row. The instant is that of the write, not of the counts: a row is merged
 * only after no retry of the same write can arrive any more.
 *
 * @example
 * formatRawKey(1700000000000, 'node-a', 7);
 */
export function formatRawKey(writtenAtMs: number, writer: string, sequence: number): string {
  return `${RAW_PREFIX}${formatInstant(writtenAtMs)}/${writer}/${sequence}`;
}

/**
 * Parses the instant of the write in a raw row's key, in ms since the Unix epoch.
 *
 * @example
 * parseRawInstant(row.key);
 */
export function parseRawInstant(key: string): number {
  return Number(key.slice(RAW_PREFIX.length, RAW_PREFIX.length + INSTANT_DIGITS));
}

/**
 * Formats the key prefix of a member's merged rows.
 *
 * @example
 * formatSlotPrefix('dobrescu'); // 'burn/slot/dobrescu/'
 */
export function formatSlotPrefix(member: string): string {
  return `burn/slot/${member}/`;
}

/**
 * Formats the key of the merged row of a member and slot; keys sort by time.
 *
 * @example
 * formatSlotKey('dobrescu', getSlotStart(nowMs));
 */
export function formatSlotKey(member: string, slotMs: number): string {
  return formatSlotPrefix(member) + formatInstant(Math.max(0, slotMs));
}

/**
 * Parses the start of the slot in a merged row's key, in ms since the Unix epoch.
 *
 * @example
 * parseSlotStart(row.key);
 */
export function parseSlotStart(key: string): number {
  return Number(key.slice(-INSTANT_DIGITS));
}

/** Counts of requests, failed and slow ones, by member, slot and service. */
type PackedCounts = Record<string, Record<string, Record<string, [number, number, number]>>>;

/**
 * Encodes the value of a raw row. An entry of a large fleet serves every service and writes one row
 * a minute. If every name were repeated, 980 services would use up all that a node may send as
 * control traffic.
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
 * Decodes the counts in a raw row.
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
 * Decodes the counts in a merged row; none if there is no row.
 *
 * @example
 * decodeSlotRow(rows.get(key));
 */
export function decodeSlotRow(row: ITableRow | undefined): ServiceCounts {
  return row === undefined ? {} : (JSON.parse(row.value) as ServiceCounts);
}

/**
 * Adds up raw counts by member and slot; the keys are those of the merged rows.
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
