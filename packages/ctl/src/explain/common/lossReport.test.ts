import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatLosses } from '../../output/common/lossText.js';
import type { ILogLine } from './logLine.js';
import { countLosses } from './lossReport.js';

function makeLine(
  message: string,
  fields: Readonly<Record<string, unknown>>,
  second = 30,
  node = 'n1',
): ILogLine {
  const time = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  return { time, node, message, fields: { service: 's', objectiveMs: 600, ...fields } };
}

function makeAttempt(outcome: string, suspicion: number, latencyMs: number): object {
  return { target: 't', home: 'h', outcome, suspicion, latencyMs };
}

const OK = { status: 200, result: 'Ok', runState: 'ran' };
const FAILED = { status: 500, result: 'Ok', runState: 'ran' };

const LINES = [
  makeLine('started', {}, 1),
  makeLine('started', {}, 28, 'n2'),
  makeLine('started', {}, 1, 'n2'),
  makeLine('request', { ...OK, ms: 200, attempts: [makeAttempt('succeeded', 0, 199)] }),
  makeLine('request', { ...OK, ms: 900, attempts: [makeAttempt('succeeded', 0, 200)] }),
  makeLine('request', { ...OK, ms: 900, attempts: [makeAttempt('succeeded', 0, 890)] }),
  makeLine('request', {
    ...OK,
    ms: 900,
    attempts: [makeAttempt('timed-out', 0, 500), makeAttempt('succeeded', 0, 390)],
  }),
  makeLine('request', { ...FAILED, ms: 4, attempts: [makeAttempt('failed', 0.9, 3)] }),
  makeLine('request', { ...FAILED, ms: 4, attempts: [makeAttempt('failed', 0.01, 3)] }),
  makeLine('grant refused', { request: 'q9', result: 'RetryBudgetSpent' }),
  makeLine('request', {
    ...FAILED,
    request: 'q9',
    ms: 4,
    attempts: [makeAttempt('broken', 0.01, 3)],
  }),
  makeLine('request', { status: 503, result: 'QueueFull', runState: 'not-run', ms: 1 }),
  makeLine('request', { status: 503, result: 'NoTarget', runState: 'not-run', ms: 1 }, 30, 'n2'),
  makeLine('caller left', { ms: 700 }),
];

test('every request is either in time or lost for one reason, and the counts add up', () => {
  const report = countLosses(LINES);
  assert.equal(report.requests, 10);
  assert.equal(report.inTime, 1);
  const reasons = report.rows.map(({ kind, reason }) => `${kind}: ${reason}`).sort();
  assert.deepEqual(reasons, [
    'failed: broken at a target believed sound, no retry left',
    'failed: failed at a target believed failing',
    'failed: failed at a target believed sound',
    'late: second attempt',
    'late: slow answer',
    'late: waited for a slot',
    'left: caller left',
    'refused: NoTarget, node just started',
    'refused: QueueFull',
  ]);
  const lost = report.rows.reduce((sum, { requests }) => sum + requests, 0);
  assert.equal(lost + report.inTime, report.requests);
  assert.match(formatLosses(report), /all +all +10 +100\.00%/);
});
