/** Computes burn rates over several windows, and the alerts that they trigger. */
import { create } from '@bufbuild/protobuf';
import { MS_PER_SECOND } from '@parsleymux/base';
import type { Objective, WindowBurn } from '@parsleymux/schema';
import { BurnCountsSchema, WindowBurnSchema } from '@parsleymux/schema';
import type { IBurnCounts } from './burnCounts.js';
import { addCounts, NO_COUNTS, SLOT_MS } from './burnCounts.js';

/** Counts of one service in one slot. */
export interface ISlotCounts {
  readonly slotMs: number;
  readonly counts: IBurnCounts;
}

const MINUTE_S = 60;
const HOUR_S = 3600;
const DAY_S = 86_400;
const DEFAULT_AVAILABILITY = 0.999;
const DEFAULT_LATENCY_SHARE = 0.99;

/**
 * Fires if the burn rates of both windows exceed the limit: the long window shows that the loss is
 * significant, the short window that it is still going on.
 */
interface IAlertRule {
  readonly kind: 'page' | 'ticket';
  readonly longS: number;
  readonly shortS: number;
  readonly limit: number;
  readonly label: string;
}

/**
 * Alert rules for an objective over 30 days. Their limits correspond to 2% of the error budget in one
 * hour, 5% in six hours and 10% in three days.
 */
const ALERT_RULES: readonly IAlertRule[] = [
  { kind: 'page', longS: HOUR_S, shortS: 5 * MINUTE_S, limit: 14.4, label: '1 h and 5 min' },
  { kind: 'page', longS: 6 * HOUR_S, shortS: 30 * MINUTE_S, limit: 6, label: '6 h and 30 min' },
  { kind: 'ticket', longS: 3 * DAY_S, shortS: 6 * HOUR_S, limit: 1, label: '3 d and 6 h' },
];

/** Lengths of all windows of the rules, in seconds, shortest first. */
export const WINDOWS_S: readonly number[] = [
  ...new Set(ALERT_RULES.flatMap((rule) => [rule.shortS, rule.longS])),
].sort((left, right) => left - right);

/**
 * Computes the burn rates of each window that ends at `nowMs`. A slot that overlaps a window partly is
 * counted in full, so the effective window can be up to one slot longer than its name.
 *
 * @example
 * const windows = computeWindowBurns(slots, service.objective, clock.getWallTime());
 */
export function computeWindowBurns(
  slots: readonly ISlotCounts[],
  objective: Objective | undefined,
  nowMs: number,
): readonly WindowBurn[] {
  return WINDOWS_S.map((windowS) => {
    const burn = computeBurnRatesAt(slots, objective, nowMs, windowS * MS_PER_SECOND);
    return create(WindowBurnSchema, {
      windowS,
      counts: create(BurnCountsSchema, toCountsMessage(burn.counts)),
      availabilityBurn: burn.availability,
      latencyBurn: burn.latency,
    });
  });
}

/** Counts and burn rates of one time span. */
export interface IBurnRates {
  readonly counts: IBurnCounts;
  readonly availability: number;
  readonly latency: number;
}

/**
 * Computes the burn rates of the time span of `spanMs` that ends at `atMs`.
 *
 * @example
 * computeBurnRatesAt(slots, objective, nowMs, 3_600_000).availability;
 */
export function computeBurnRatesAt(
  slots: readonly ISlotCounts[],
  objective: Objective | undefined,
  atMs: number,
  spanMs: number,
): IBurnRates {
  const counts = slots
    .filter((slot) => slot.slotMs > atMs - spanMs - SLOT_MS && slot.slotMs <= atMs)
    .reduce((sum, slot) => addCounts(sum, slot.counts), NO_COUNTS);
  const availability = getShareOrDefault(objective?.availability, DEFAULT_AVAILABILITY);
  const latencyShare = getShareOrDefault(objective?.latencyShare, DEFAULT_LATENCY_SHARE);
  return {
    counts,
    availability: computeBurnRate(counts.failed, counts.requests, availability),
    latency: computeBurnRate(counts.slow, counts.requests - counts.failed, latencyShare),
  };
}

/**
 * Lists the alerts that fire for these burn rates.
 *
 * @example
 * listAlerts(windows); // ['page: availability over 1 h and 5 min']
 */
export function listAlerts(windows: readonly WindowBurn[]): readonly string[] {
  const byLength = new Map(windows.map((window) => [window.windowS, window]));
  return ALERT_RULES.flatMap((rule) => {
    const long = byLength.get(rule.longS);
    const short = byLength.get(rule.shortS);
    if (long === undefined || short === undefined) return [];
    const isFiring = (getBurn: (window: WindowBurn) => number) => {
      return getBurn(long) > rule.limit && getBurn(short) > rule.limit;
    };
    const alerts: string[] = [];
    const suffix = `over ${rule.label}`;
    if (isFiring((window) => window.availabilityBurn)) {
      alerts.push(`${rule.kind}: availability ${suffix}`);
    }
    if (isFiring((window) => window.latencyBurn)) alerts.push(`${rule.kind}: latency ${suffix}`);
    return alerts;
  });
}

/**
 * Converts counts to the fields of a `BurnCounts` message.
 *
 * @example
 * create(BurnCountsSchema, toCountsMessage(counts));
 */
export function toCountsMessage(counts: IBurnCounts) {
  return {
    requests: BigInt(counts.requests),
    failed: BigInt(counts.failed),
    slow: BigInt(counts.slow),
  };
}

/** Share of bad requests divided by the share that the objective allows; 0 without requests. */
function computeBurnRate(bad: number, all: number, objective: number): number {
  return all <= 0 ? 0 : bad / all / (1 - objective);
}

/** Returns the default for a share that is not set: an absent number in a message is 0. */
function getShareOrDefault(share: number | undefined, byDefault: number): number {
  return share === undefined || share === 0 ? byDefault : share;
}
