/** What callers got in one run, and what it cost. */
import type { ILimitViolation } from './fleetObserver.js';
import type { IRequestKind } from './scenario.js';

/** Windows in which the worst moments are looked for, in ms. */
const WINDOW_MS = 2000;
const BYTES_PER_KIB = 1024;
/** A refusal within this share of the objective came at once. */
const HELD_REFUSAL_SHARE = 1 / 8;
/** Windows that count as the worst. */
const WORST_WINDOWS = 2;

/** How a request ended for its caller. */
export const RequestOutcome = {
  /** Answered within its objective. */
  InTime: 'inTime',
  Late: 'late',
  /** Told that it has not run, until its caller gave up. */
  Refused: 'refused',
  Failed: 'failed',
} as const;

export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Figures of one run; shares are of all requests. */
export interface IRunResult {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Worth earned as a share of the worth asked for. */
  readonly credit: number;
  /** The same over the worst two windows of 2 s. */
  readonly worstCredit: number;
  /** The same for the kind that fares worst. */
  readonly worstKindCredit: number;
  /** Refusals after more than an eighth of the objective, for each request. */
  readonly heldRefusals: number;
  /** New connections for each request. */
  readonly connections: number;
  /** Answers carried between failure domains for each request, in KiB. */
  readonly crossedKib: number;
  /** Failed runs at targets for each request. */
  readonly failedRuns: number;
  /** Targets that crashed under requests that crash them. */
  readonly crashedTargets: number;
  /** Answers to harmless requests that were held back for what they were taken to do to targets. */
  readonly heldBack: number;
  /** Limits that hold over all nodes together, and were broken. */
  readonly violations: readonly ILimitViolation[];
  /** Share of the requests of each kind that ended so. */
  readonly kinds: Readonly<Record<string, Readonly<Record<RequestOutcome, number>>>>;
}

interface IOutcomeRecord {
  readonly kind: IRequestKind;
  readonly atMs: number;
  readonly outcome: RequestOutcome;
}

/** Costs that are counted besides the endings. */
export interface IRunCosts {
  readonly connections: number;
  readonly crossDomainBytes: number;
  readonly crashedTargets: number;
  readonly failedRuns: number;
  readonly violations: readonly ILimitViolation[];
}

/**
 * Collects endings.
 *
 * @example
 * ledger.record(kind, atMs, Ending.InTime);
 */
export class RunRecorder {
  private readonly records: IOutcomeRecord[] = [];
  private heldRefusals = 0;
  private heldBack = 0;

  record(kind: IRequestKind, atMs: number, ending: RequestOutcome): void {
    this.records.push({ kind, atMs, outcome: ending });
  }

  /** Counts a refusal that came `heldMs` after the question. */
  recordRefusal(kind: IRequestKind, heldMs: number): void {
    if (heldMs > kind.objectiveMs * HELD_REFUSAL_SHARE) this.heldRefusals += 1;
  }

  /** Counts a harmless request that was held back for what it was taken to do to targets. */
  recordQuarantined(): void {
    this.heldBack += 1;
  }

  summarize(costs: IRunCosts): IRunResult {
    const { records } = this;
    const asked = Math.max(1, records.length);
    const windows = toGroups(records, ({ atMs }) => String(Math.floor(atMs / WINDOW_MS)));
    const kinds = toGroups(records, ({ kind }) => kind.name);
    const worst = windows.map(computeCredit).sort((left, right) => left - right);
    const worstWindows = worst.slice(0, WORST_WINDOWS);
    return {
      ...computeShares(records),
      credit: computeCredit(records),
      worstCredit:
        worstWindows.reduce((sum, credit) => sum + credit, 0) / Math.max(1, worstWindows.length),
      worstKindCredit: Math.min(...kinds.map(computeCredit)),
      heldRefusals: this.heldRefusals / asked,
      connections: costs.connections / asked,
      crossedKib: costs.crossDomainBytes / BYTES_PER_KIB / asked,
      failedRuns: costs.failedRuns / asked,
      crashedTargets: costs.crashedTargets,
      heldBack: this.heldBack,
      violations: costs.violations,
      kinds: Object.fromEntries(
        kinds.map((group) => [group[0]?.kind.name ?? '', computeShares(group)]),
      ),
    };
  }
}

function computeShares(
  records: readonly IOutcomeRecord[],
): Readonly<Record<RequestOutcome, number>> {
  const getShare = (ending: RequestOutcome) => {
    return records.filter((record) => record.outcome === ending).length / records.length;
  };
  return {
    inTime: getShare(RequestOutcome.InTime),
    late: getShare(RequestOutcome.Late),
    refused: getShare(RequestOutcome.Refused),
    failed: getShare(RequestOutcome.Failed),
  };
}

function computeCredit(records: readonly IOutcomeRecord[]): number {
  let earned = 0;
  let owed = 0;
  for (const { outcome: ending, kind } of records) {
    owed += kind.worth;
    if (ending === RequestOutcome.InTime) earned += kind.worth;
    if (ending === RequestOutcome.Late) earned += kind.lateWorth;
  }
  return owed === 0 ? 1 : earned / owed;
}

function toGroups(
  records: readonly IOutcomeRecord[],
  getKey: (record: IOutcomeRecord) => string,
): readonly (readonly IOutcomeRecord[])[] {
  const groups = new Map<string, IOutcomeRecord[]>();
  for (const record of records) {
    const key = getKey(record);
    const group = groups.get(key) ?? [];
    group.push(record);
    groups.set(key, group);
  }
  return [...groups.values()];
}
