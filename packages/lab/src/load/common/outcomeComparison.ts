/**
 * Compares the outcomes that callers received with the executions of targets. This verifies three
 * guarantees end to end: at-most-once execution, truthful refusals and complete responses.
 */
import { RunState } from '@parsleymux/base';
import type { IExecution } from '@parsleymux/standins';
import type { IAttemptRecord, IRequestRecord } from './requestRecord.js';
import { AttemptOutcome, getFinalAttempt } from './requestRecord.js';

/** A violated guarantee, with the identifier that finds the request in the logs. */
export interface IFinding {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

/** Result of a comparison. */
export interface IOutcomeComparison {
  readonly requests: number;
  readonly executions: number;
  /** Non-idempotent requests with a complete response. */
  readonly bookingsDone: number;
  readonly bookings: number;
  /** Requests whose refusals as "not run" were compared. */
  readonly notRunChecked: number;
  readonly findings: readonly IFinding[];
}

/**
 * Compares all records with all executions. Call it after the load has ended and the targets run no
 * more requests.
 *
 * @example
 * const comparison = compareOutcomes(records, executions);
 * if (comparison.findings.length > 0) process.exitCode = 1;
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

/** Attempts that were sent to a node. */
function getSentAttempts(record: IRequestRecord): readonly IAttemptRecord[] {
  return record.attempts.filter(({ outcome }) => outcome !== AttemptOutcome.NotSent);
}

/** Number of sent attempts, from the first on, that were refused as not run. */
function countLeadingNotRun(record: IRequestRecord): number {
  const sent = getSentAttempts(record);
  const first = sent.findIndex(({ outcome, runState }) => {
    return outcome !== AttemptOutcome.Refused || runState !== RunState.NotRun;
  });
  return first < 0 ? sent.length : first;
}

/**
 * Finds an execution that contradicts refusals as "not run". Only attempts before the first one with
 * another outcome are checked: once an attempt may have run, a later execution can belong to it, and
 * a further "not run" applies to its own attempt alone. An execution contradicts the refusals if it
 * started before the next attempt was sent, or at any time if no other attempt followed.
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
