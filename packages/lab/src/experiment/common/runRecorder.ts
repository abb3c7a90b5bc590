/** Records the outcomes of requests in one run, and its costs. */
import type { ILimitViolation } from './fleetObserver.js';
import type { IPathLossCounts } from './pathLossChecker.js';
import type { IRequestKind } from './scenario.js';

/** Length of the windows that are searched for the worst credit, in ms. */
const WINDOW_MS = 2000;
const BYTES_PER_KIB = 1024;
/** A refusal after more than this share of the objective counts as held. */
const HELD_REFUSAL_SHARE = 1 / 8;
/** Number of windows that count as the worst. */
const WORST_WINDOWS = 2;

/** Outcome of a request for its caller. */
export const RequestOutcome = {
  /** Served within its objective. */
  InTime: 'inTime',
  /** Served after its objective. */
  Late: 'late',
  /** Refused as not run at each attempt, until its caller gave up. */
  Refused: 'refused',
  Failed: 'failed',
} as const;

export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Results of one run; shares are of all requests. */
export interface IRunResult {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Worth of served requests as a share of the worth of all requests. */
  readonly credit: number;
  /** Mean credit of the two worst windows of 2 s. */
  readonly worstCredit: number;
  /** Credit of the kind with the lowest credit. */
  readonly worstKindCredit: number;
  /** Refusals after more than an eighth of the objective, per request. */
  readonly heldRefusals: number;
  /** New connections per request. */
  readonly connections: number;
  /** Size of responses transferred between failure domains, in KiB per request. */
  readonly crossedKib: number;
  /** Executions that failed at targets, per request. */
  readonly failedRuns: number;
  /** Number of crashes of targets under crashing requests. */
  readonly crashedTargets: number;
  /** Harmless requests that were quarantined by mistake. */
  readonly heldBack: number;
  /** Violations of limits that apply to all nodes together. */
  readonly violations: readonly ILimitViolation[];
  /** First tries while some nodes had no path to the targets, from 1 s after the loss. */
  readonly pathLoss: IPathLossCounts;
  /** Share of the requests of each kind with each outcome. */
  readonly kinds: Readonly<Record<string, Readonly<Record<RequestOutcome, number>>>>;
}

interface IOutcomeRecord {
  readonly kind: IRequestKind;
  readonly atMs: number;
  readonly outcome: RequestOutcome;
}

/** Costs that are counted besides the outcomes. */
export interface IRunCosts {
  readonly connections: number;
  readonly crossDomainBytes: number;
  readonly crashedTargets: number;
  readonly failedRuns: number;
  readonly violations: readonly ILimitViolation[];
  readonly pathLoss: IPathLossCounts;
}

/**
 * Collects the outcomes of requests and summarizes them.
 *
 * @example
 * recorder.record(kind, atMs, RequestOutcome.InTime);
 */
export class RunRecorder {
  private readonly records: IOutcomeRecord[] = [];
  private heldRefusals = 0;
  private heldBack = 0;

  record(kind: IRequestKind, atMs: number, outcome: RequestOutcome): void {
    this.records.push({ kind, atMs, outcome });
  }

  /** Counts a refusal as held if it came late; `latencyMs` is the time since the request was sent. */
  recordRefusal(kind: IRequestKind, latencyMs: number): void {
    if (latencyMs > kind.objectiveMs * HELD_REFUSAL_SHARE) this.heldRefusals += 1;
  }

  /** Counts a harmless request that was quarantined by mistake. */
  recordQuarantined(): void {
    this.heldBack += 1;
  }

  summarize(costs: IRunCosts): IRunResult {
    const { records } = this;
    const requests = Math.max(1, records.length);
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
      heldRefusals: this.heldRefusals / requests,
      connections: costs.connections / requests,
      crossedKib: costs.crossDomainBytes / BYTES_PER_KIB / requests,
      failedRuns: costs.failedRuns / requests,
      crashedTargets: costs.crashedTargets,
      heldBack: this.heldBack,
      violations: costs.violations,
      pathLoss: costs.pathLoss,
      kinds: Object.fromEntries(
        kinds.map((group) => [group[0]?.kind.name ?? '', computeShares(group)]),
      ),
    };
  }
}

function computeShares(
  records: readonly IOutcomeRecord[],
): Readonly<Record<RequestOutcome, number>> {
  const getShare = (outcome: RequestOutcome) => {
    return records.filter((record) => record.outcome === outcome).length / records.length;
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
  let total = 0;
  for (const { outcome, kind } of records) {
    total += kind.worth;
    if (outcome === RequestOutcome.InTime) earned += kind.worth;
    if (outcome === RequestOutcome.Late) earned += kind.lateWorth;
  }
  return total === 0 ? 1 : earned / total;
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
