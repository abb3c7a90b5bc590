/** Why requests were not answered in time: each lost one has one reason, so the account adds up. */
import type { ILogLine } from './logLine.js';

/** From this probability on, a target counted as failing when it was granted. */
const MIN_FAILING_SUSPICION = 0.5;
/** Nodes that started so recently take part in a recovery, in ms. */
const RECENT_START_MS = 5000;
const MIN_FAILURE_STATUS = 400;

/** What became of a request that was not answered in time. */
export const LossKind = {
  /** The caller was told that it had not run. */
  Refused: 'refused',
  Failed: 'failed',
  Late: 'late',
  /** The caller went away before the answer. */
  CallerDisconnected: 'left',
} as const;

export type LossKind = (typeof LossKind)[keyof typeof LossKind];

/** Requests of one service that were lost in one way for one reason. */
export interface ILossRow {
  readonly service: string;
  readonly kind: LossKind;
  readonly reason: string;
  readonly requests: number;
}

/** All requests, and those lost. */
export interface ILossReport {
  readonly requests: number;
  readonly inTime: number;
  /** Most first. Together with those in time they make all requests. */
  readonly rows: readonly ILossRow[];
}

interface IAttempt {
  readonly suspicion: number;
  readonly outcome: string;
  readonly latencyMs: number;
}

interface ILoss {
  readonly kind: LossKind;
  readonly reason: string;
}

/**
 * Accounts for every request of the logs.
 *
 * @example
 * const { rows } = countLosses(lines);
 */
export function countLosses(lines: readonly ILogLine[]): ILossReport {
  const starts = findStartTimes(lines);
  const noRetry = findRequestsWithoutRetry(lines);
  const counts = new Map<string, ILossRow>();
  let requests = 0;
  let inTime = 0;
  for (const line of lines) {
    if (line.message !== 'request' && line.message !== 'caller left') continue;
    requests += 1;
    const loss = findLoss(line, noRetry);
    if (loss === undefined) {
      inTime += 1;
      continue;
    }
    const reason = `${loss.reason}${isSoonAfterRestart(line, starts) ? ', node just started' : ''}`;
    const service = String(line.fields.service);
    const key = [service, loss.kind, reason].join('\n');
    const row = counts.get(key) ?? { service, kind: loss.kind, reason, requests: 0 };
    counts.set(key, { ...row, requests: row.requests + 1 });
  }
  const rows = [...counts.values()].sort((left, right) => right.requests - left.requests);
  return { requests, inTime, rows };
}

function findLoss(line: ILogLine, noRetry: ReadonlySet<string>): ILoss | undefined {
  const { fields, message } = line;
  if (message === 'caller left')
    return { kind: LossKind.CallerDisconnected, reason: 'caller left' };
  const attempts = listAttempts(fields);
  if (Number(fields.status) < MIN_FAILURE_STATUS) return findLateLoss(fields, attempts);
  const result = String(fields.result);
  if (fields.runState === 'not-run') return { kind: LossKind.Refused, reason: result };
  const last = attempts[attempts.length - 1];
  if (last === undefined) return { kind: LossKind.Failed, reason: result };
  const belief = last.suspicion >= MIN_FAILING_SUSPICION ? 'believed failing' : 'believed sound';
  const isEnded = noRetry.has(String(fields.request));
  const reason = `${last.outcome} at a target ${belief}${isEnded ? ', no retry left' : ''}`;
  return { kind: LossKind.Failed, reason };
}

function findLateLoss(
  fields: Readonly<Record<string, unknown>>,
  attempts: readonly IAttempt[],
): ILoss | undefined {
  const tookMs = Number(fields.ms);
  const objectiveMs = Number(fields.objectiveMs ?? Infinity);
  if (tookMs <= objectiveMs) return undefined;
  const workedMs = attempts.reduce((sum, { latencyMs }) => sum + latencyMs, 0);
  const waitedMs = tookMs - workedMs;
  if (waitedMs > tookMs / 2) return { kind: LossKind.Late, reason: 'waited for a slot' };
  if (attempts.length > 1) return { kind: LossKind.Late, reason: 'second attempt' };
  return { kind: LossKind.Late, reason: 'slow answer' };
}

/** Requests whose next attempt was refused because the retries of the service were used up. */
function findRequestsWithoutRetry(lines: readonly ILogLine[]): ReadonlySet<string> {
  const refused = lines.filter(({ fields, message }) => {
    return message === 'grant refused' && fields.result === 'RetryBudgetSpent';
  });
  return new Set(refused.map(({ fields }) => String(fields.request)));
}

function findStartTimes(lines: readonly ILogLine[]): ReadonlyMap<string, readonly number[]> {
  const starts = new Map<string, number[]>();
  for (const { message, node, time } of lines) {
    if (message !== 'started') continue;
    const known = starts.get(node) ?? [];
    starts.set(
      node,
      [...known, Date.parse(time)].sort((left, right) => left - right),
    );
  }
  return starts;
}

function isSoonAfterRestart(
  { node, time }: ILogLine,
  starts: ReadonlyMap<string, readonly number[]>,
): boolean {
  const atMs = Date.parse(time);
  const own = starts.get(node) ?? [];
  // The first start is that of the whole fleet, before there are callers.
  return own.slice(1).some((startMs) => atMs >= startMs && atMs - startMs < RECENT_START_MS);
}

function listAttempts(fields: Readonly<Record<string, unknown>>): readonly IAttempt[] {
  if (!Array.isArray(fields.attempts)) return [];
  return (fields.attempts as Record<string, unknown>[]).map((attempt) => ({
    suspicion: Number(attempt.suspicion),
    outcome: String(attempt.outcome),
    latencyMs: Number(attempt.latencyMs),
  }));
}
