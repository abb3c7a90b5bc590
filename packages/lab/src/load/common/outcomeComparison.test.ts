import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunState } from '@parsleymux/base';
import type { IExecution } from '@parsleymux/standins';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import type { IAttemptRecord, IRequestRecord } from './requestRecord.js';
import { AttemptOutcome } from './requestRecord.js';
import { compareOutcomes } from './outcomeComparison.js';

const [reading, booking] = makeWorkloads();

function makeRecord(
  isBooking: boolean,
  attempts: readonly Partial<IAttemptRecord>[],
): IRequestRecord {
  const workload = isBooking ? booking : reading;
  assert.ok(workload !== undefined);
  const key = isBooking ? 'k' : '';
  return {
    request: {
      workload,
      requestId: 'r',
      key,
      path: '/',
      body: new Uint8Array(),
      twinAfterMs: undefined,
    },
    attempts: attempts.map((attempt, index) => ({
      outcome: AttemptOutcome.Refused,
      node: 'n',
      status: 503,
      code: 2001,
      runState: RunState.NotRun,
      sentAtMs: 100 * index,
      endedAtMs: 100 * index + 50,
      ...attempt,
    })),
  };
}

function makeExecution(startedAtMs: number, key = ''): IExecution {
  return { target: 't', key, requestId: 'r', state: 'finished', startedAtMs };
}

function listViolatedGuarantees(
  record: IRequestRecord,
  executions: readonly IExecution[],
): string[] {
  return compareOutcomes([record], executions).findings.map(({ promise }) => promise);
}

const ANSWERED = { outcome: AttemptOutcome.Answered, status: 200, code: 0 } as const;
const UNKNOWN = { runState: RunState.MayHaveRun, code: 4004 } as const;

test('a booking that two targets executed is reported, a read executed twice is not', () => {
  const executions = [makeExecution(10, 'k'), makeExecution(20, 'k')];
  assert.deepEqual(listViolatedGuarantees(makeRecord(true, [ANSWERED]), executions), [
    'at most once',
  ]);
  const reads = [makeExecution(10), makeExecution(20)];
  assert.deepEqual(listViolatedGuarantees(makeRecord(false, [ANSWERED]), reads), []);
});

test('a refusal as not run is false if an execution started before the next attempt', () => {
  const refusedThenAnswered = makeRecord(true, [{}, ANSWERED]);
  assert.deepEqual(listViolatedGuarantees(refusedThenAnswered, [makeExecution(120, 'k')]), []);
  assert.deepEqual(listViolatedGuarantees(refusedThenAnswered, [makeExecution(20, 'k')]), [
    'truthful refusals',
  ]);
  assert.deepEqual(listViolatedGuarantees(makeRecord(true, [{}, {}]), [makeExecution(500, 'k')]), [
    'truthful refusals',
  ]);
  assert.deepEqual(
    listViolatedGuarantees(makeRecord(true, [UNKNOWN, {}]), [makeExecution(20, 'k')]),
    [],
  );
});

test('partial responses, responses without execution and unexplained errors are reported', () => {
  const partial = makeRecord(false, [{ outcome: AttemptOutcome.Partial }, ANSWERED]);
  assert.deepEqual(listViolatedGuarantees(partial, [makeExecution(10)]), ['whole answers']);
  assert.deepEqual(listViolatedGuarantees(makeRecord(false, [ANSWERED]), []), ['whole answers']);
  const unexplained = makeRecord(false, [{ outcome: AttemptOutcome.Unexplained }]);
  assert.deepEqual(listViolatedGuarantees(unexplained, []), ['truthful refusals']);
});
