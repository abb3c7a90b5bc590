/**
 * Compares what callers were told with what the targets executed. This is the outside view of
 * three promises: at most once, truthful refusals, whole answers.
 */
import { RunState } from '@parsleymux/base';
import type { IExecution } from '@parsleymux/standins';
import type { IAttemptRecord, IRequestRecord } from './requestRecord.js';
import { AttemptOutcome, getFinalAttempt } from './requestRecord.js';

/** One broken promise, with enough to find the request in the logs. */
export interface IFinding {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

/** The outcome of a comparison. */
export interface IOutcomeComparison {
  readonly requests: number;
  readonly executions: number;
  /** Non-idempotent requests that were answered whole. */
  readonly bookingsDone: number;
  readonly bookings: number;
  /** Refusals as "not run" that were compared. */
  readonly notRunChecked: number;
  readonly findings: readonly IFinding[];
}

/**
 * Compares all records with all executions. Call it when the load has ended and the targets
 * have come to rest.
 *
 * @example
 * const verdict = compareOutcomes(records, executions);
 * if (verdict.findings.length > 0) process.exitCode = 1;
 */
export function compareOutcomes(
  records: readonly IRequestRecord[],
  executions: readonly IExecution[],
): IOutcomeComparison {
  const byRequest = new Map<string, IExecution[]>();
  for (const execution of executions) {
    const known = byRequest.get(execution.requestId);
    if (known === undefined) byRequest.set(execution.requestId, [execution]);
    else known.push(execution);
  }
  const findings = records.flatMap((record) => {
    return findViolations(record, byRequest.get(record.request.requestId) ?? []);
  });
  const bookings = records.filter(({ request }) => !request.workload.idempotent);
  return {
    requests: records.length,
    executions: executions.length,
    bookings: bookings.length,
    bookingsDone: bookings.filter(isAnswered).length,
    notRunChecked: records.filter((record) => countLeadingNotRun(record) > 0).length,
    findings: [...findings, ...findRepeatedExecutions(executions, bookings)],
  };
}

function isAnswered(record: IRequestRecord): boolean {
  return getFinalAttempt(record.attempts)?.outcome === AttemptOutcome.Answered;
}

function findViolations(record: IRequestRecord, executions: readonly IExecution[]): IFinding[] {
  const { requestId } = record.request;
  const findings: IFinding[] = [];
  for (const { outcome, node, code } of record.attempts) {
    if (outcome === AttemptOutcome.Partial || outcome === AttemptOutcome.Foreign) {
      findings.push({ promise: 'whole answers', requestId, detail: `${outcome} from ${node}` });
    }
    if (outcome === AttemptOutcome.Unexplained) {
      const detail = `error without run state from ${node}, code ${code}`;
      findings.push({ promise: 'truthful refusals', requestId, detail });
    }
  }
  if (isAnswered(record) && executions.length === 0) {
    const detail = 'answered, but no target executed it';
    findings.push({ promise: 'whole answers', requestId, detail });
  }
  const falseRefusal = findFalseNotRun(record, executions);
  if (falseRefusal !== undefined) {
    findings.push({ promise: 'truthful refusals', requestId, detail: falseRefusal });
  }
  return findings;
}

/** Attempts that reached a node. */
function getSentAttempts(record: IRequestRecord): readonly IAttemptRecord[] {
  return record.attempts.filter(({ outcome }) => outcome !== AttemptOutcome.NotSent);
}

/** Sent attempts from the first on that were all refused as not run. */
function countLeadingNotRun(record: IRequestRecord): number {
  const sent = getSentAttempts(record);
  const first = sent.findIndex(({ outcome, runState }) => {
    return outcome !== AttemptOutcome.Refused || runState !== RunState.NotRun;
  });
  return first < 0 ? sent.length : first;
}

/**
 * Only attempts before the first of another outcome are judged: once an attempt may have run,
 * an execution that is seen later can be that one's, and a further "not run" speaks of its own
 * attempt alone. An execution counts against the refusals if it began before the next attempt
 * was sent, or at any time when no other attempt followed.
 */
function findFalseNotRun(
  record: IRequestRecord,
  executions: readonly IExecution[],
): string | undefined {
  const prefix = countLeadingNotRun(record);
  const sent = getSentAttempts(record);
  const last = sent[prefix - 1];
  if (last === undefined) return undefined;
  const limitMs = sent[prefix]?.sentAtMs ?? Infinity;
  const early = executions.find(({ startedAtMs }) => startedAtMs < limitMs);
  if (early === undefined) return undefined;
  return `refused as not run with code ${last.code} by ${last.node}, executed by ${early.target}`;
}

function findRepeatedExecutions(
  executions: readonly IExecution[],
  bookings: readonly IRequestRecord[],
): IFinding[] {
  const keys = new Set(bookings.map(({ request }) => request.key));
  const targetsByKey = new Map<string, string[]>();
  for (const { key, target } of executions) {
    if (keys.has(key)) targetsByKey.set(key, [...(targetsByKey.get(key) ?? []), target]);
  }
  return [...targetsByKey]
    .filter(([, targets]) => targets.length > 1)
    .map(([key, targets]) => ({
      promise: 'at most once',
      requestId: key,
      detail: `executed ${targets.length} times: ${targets.join(', ')}`,
    }));
}
