import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatTimeline } from '../../output/common/timelineText.js';
import type { ILogLine } from './logLine.js';
import { parseLogLine } from './logLine.js';
import { findRequestTimeline, findTargetTimeline } from './timeline.js';

function makeLine(second: number, node: string, message: string, fields: object): string {
  const time = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  return `  12.5 ${node} ${JSON.stringify({ time, level: 'info', message, node, ...fields })}`;
}

const ATTEMPT = { target: 't1', home: 'h', suspicion: 0.02, outcome: 'failed', latencyMs: 3 };
const LINES = [
  makeLine(9, 'n2', 'request', { request: 'q2', status: 200, attempts: [] }),
  makeLine(5, 'n1', 'request', { request: 'q1', status: 500, attempts: [ATTEMPT] }),
  makeLine(2, 'n3', 'target trusted', { request: 'q0', target: 't1', cause: 'succeeded' }),
  makeLine(3, 'n3', 'target doubted', { request: 'q0', target: 't9', cause: 'failed' }),
  makeLine(6, 'n3', 'target doubted', { request: 'q1', target: 't1', cause: 'failed' }),
  makeLine(4, 'n1', 'store lost', { table: 'targets' }),
  makeLine(4, 'n2', 'store lost', { table: 'targets' }),
  makeLine(4, 'n1', 'targets changed', { targets: ['t1 booking ready'] }),
  'a line of something else, {cut',
].flatMap((text): ILogLine[] => {
  const line = parseLogLine(text);
  return line === undefined ? [] : [line];
});

test('the timeline of a request includes health changes of its targets and events of its nodes', () => {
  const timeline = findRequestTimeline(LINES, 'q1').map(
    ({ message, node }) => `${node} ${message}`,
  );
  assert.deepEqual(timeline, [
    'n3 target trusted',
    'n1 store lost',
    'n1 targets changed',
    'n1 request',
    'n3 target doubted',
  ]);
  assert.match(formatTimeline(findRequestTimeline(LINES, 'q1')), /attempt 1: target=t1 home=h/);
  assert.deepEqual(findRequestTimeline(LINES, 'nobody'), []);
});

test('the timeline of a target includes every health change and each failed attempt', () => {
  const timeline = findTargetTimeline(LINES, 't1').map(({ message }) => message);
  assert.deepEqual(timeline, ['target trusted', 'targets changed', 'request', 'target doubted']);
});
