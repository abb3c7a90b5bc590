import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import type { IExpectedOutcome } from '../../trace/common/trace.js';
import { formatTrace, parseTrace } from '../../trace/common/traceFormat.js';
import { buildTrace } from '../../trace/common/traceGenerator.js';
import { checkOutcome } from './outcomeCheck.js';
import type { PolicyName } from './policies.js';
import { createPolicyDetector } from './policies.js';
import { replayTrace } from './replayTrace.js';

const SEED = 2;

async function replay(name: string, policy: PolicyName = 'sequential') {
  const trace = buildTrace(name, SEED);
  const { detection } = trace.header.service;
  const createDetector = () => createPolicyDetector(policy, detection);
  return replayTrace(trace, { policy, seed: SEED, createDetector });
}

function loadOutcome(name: string): IExpectedOutcome {
  const path = new URL(`../../../traces/${name}.outcome.json`, import.meta.url);
  return JSON.parse(readFileSync(path, 'utf8')) as IExpectedOutcome;
}

test('a formatted trace parses to the same trace', () => {
  const trace = buildTrace('donautal-flapping', SEED);
  assert.deepEqual(parseTrace(formatTrace(trace)), trace);
});

test('replays with the same seed give the same result', async () => {
  assert.deepEqual(await replay('dobrescu-fail-100'), await replay('dobrescu-fail-100'));
});

for (const name of [
  'dobrescu-fail-50',
  'dobrescu-all-failing',
  'donautal-fail-20',
  'donautal-slow-3x',
  'donautal-one-way-cut',
  'donautal-silent-connections',
  'donautal-half-shedding',
  'donautal-domain-gone',
]) {
  test(`${name} meets its expected outcome`, async () => {
    assert.deepEqual(checkOutcome(await replay(name), loadOutcome(name)), []);
  });
}

test('health probes alone do not detect a gray failure and violate the expected outcome', async () => {
  const result = await replay('donautal-fail-20', 'health');
  assert.notDeepEqual(checkOutcome(result, loadOutcome('donautal-fail-20')), []);
});
