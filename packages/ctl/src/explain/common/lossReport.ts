/**
 * Counts requests without a timely, successful response by reason. Each lost request has exactly one
 * reason, so the counts add up to the total.
 */
import type { ILogLine } from './logLine.js';

/** From this failure probability on, a target was considered failing when it was granted. */
const MIN_FAILING_SUSPICION = 0.5;
/** Time after a node's restart in which lost requests are attributed to its recovery, in ms. */
const RECENT_START_MS = 5000;
const MIN_FAILURE_STATUS = 400;

/** How a request was lost. */
export const LossKind = {
  /** The response stated that the request did not run. */
  Refused: 'refused',
  Failed: 'failed',
  Late: 'late',
  /** The caller disconnected before the response. */
  CallerDisconnected: 'left',
} as const;

export type LossKind = (typeof LossKind)[keyof typeof LossKind];

/** Number of requests of one service that were lost with one kind and reason. */
export interface ILossRow {
  readonly service: string;
  readonly kind: LossKind;
  readonly reason: string;
  readonly requests: number;
}

/** Counts of all requests, of those in time and of those lost. */
export interface ILossReport {
  readonly requests: number;
  readonly inTime: number;
  /** Sorted by count, highest first. Together with those in time they add up to all requests. */
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
 * Counts the lost requests in logs by service, kind and reason.
 *
 * @example
 * const { rows } = countLosses(lines);
 */
export function countLosses(lines: readonly ILogLine[]): ILossReport {
  const startTimes = findStartTimes(lines);
  const withoutRetry = findRequestsWithoutRetry(lines);
  const counts = new Map<string, ILossRow>();
  let requests = 0;
  let inTime = 0;
  for (const line of lines) {
    if (line.message !== 'request' && line.message !== 'caller left') continue;
    requests += 1;
    const loss = findLoss(line, withoutRetry);
    if (loss === undefined) {
      inTime += 1;
      continue;
    }
    const reason = `${loss.reason}${isSoonAfterRestart(line, startTimes) ? ', node just started' : ''}`;
    const service = String(line.fields.service);
    const key = [service, loss.kind, reason].join('\n');
    const row = counts.get(key) ?? { service, kind: loss.kind, reason, requests: 0 };
    counts.set(key, { ...row, requests: row.requests + 1 });
  }
  const rows = [...counts.values()].sort((left, right) => right.requests - left.requests);
  return { requests, inTime, rows };
}

function findLoss(line: ILogLine, withoutRetry: ReadonlySet<string>): ILoss | undefined {
  const { fields, message } = line;
  if (message === 'caller left')
    return { kind: LossKind.CallerDisconnected, reason: 'caller left' };
  const attempts = listAttempts(fields);
  if (Number(fields.status) < MIN_FAILURE_STATUS) return findLateLoss(fields, attempts);
  const result = String(fields.result);
  if (fields.runState === 'not-run') return { kind: LossKind.Refused, reason: result };
  const last = attempts[attempts.length - 1];
  if (last === undefined) return { kind: LossKind.Failed, reason: result };
  const health = last.suspicion >= MIN_FAILING_SUSPICION ? 'believed failing' : 'believed sound';
  const isWithoutRetry = withoutRetry.has(String(fields.request));
  const reason = `${last.outcome} at a target ${health}${isWithoutRetry ? ', no retry left' : ''}`;
  return { kind: LossKind.Failed, reason };
}

function findLateLoss(
  fields: Readonly<Record<string, unknown>>,
  attempts: readonly IAttempt[],
): ILoss | undefined {
  const totalMs = Number(fields.ms);
  const objectiveMs = Number(fields.objectiveMs ?? Infinity);
  if (totalMs <= objectiveMs) return undefined;
  const attemptsMs = attempts.reduce((sum, { latencyMs }) => sum + latencyMs, 0);
  const waitedMs = totalMs - attemptsMs;
  if (waitedMs > totalMs / 2) return { kind: LossKind.Late, reason: 'waited for a slot' };
  if (attempts.length > 1) return { kind: LossKind.Late, reason: 'second attempt' };
  return { kind: LossKind.Late, reason: 'slow answer' };
}

/** Finds requests whose next attempt was rejected because the service's retry budget was spent. */
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
    const nodeStarts = starts.get(node) ?? [];
    starts.set(
      node,
      [...nodeStarts, Date.parse(time)].sort((left, right) => left - right),
    );
  }
  return starts;
}

function isSoonAfterRestart(
  { node, time }: ILogLine,
  starts: ReadonlyMap<string, readonly number[]>,
): boolean {
  const atMs = Date.parse(time);
  const nodeStarts = starts.get(node) ?? [];
  // The first start is excluded: the whole fleet starts then, before there are callers.
  return nodeStarts.slice(1).some((startMs) => atMs >= startMs && atMs - startMs < RECENT_START_MS);
}

function listAttempts(fields: Readonly<Record<string, unknown>>): readonly IAttempt[] {
  if (!Array.isArray(fields.attempts)) return [];
  return (fields.attempts as Record<string, unknown>[]).map((attempt) => ({
    suspicion: Number(attempt.suspicion),
    outcome: String(attempt.outcome),
    latencyMs: Number(attempt.latencyMs),
  }));
}
