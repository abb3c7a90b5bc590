import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ILabTarget } from '../../processes/common/worldLayout.js';
import { Findings } from '../common/findings.js';
import { DrainedTargets } from './drainedTargets.js';

const PLACE: ILabTarget = {
  member: 'm',
  service: 's',
  failureDomain: 'north',
  address: 'link',
  control: 'control',
};

function countViolations(leaving: DrainedTargets, startedAtMs: number): number {
  const findings = new Findings();
  const execution = {
    target: 't',
    key: '',
    requestId: 'r',
    state: 'finished',
    startedAtMs,
  } as const;
  leaving.checkAll([execution], () => 't', findings);
  return findings.list().reduce((sum, { violations }) => sum + violations, 0);
}

test('work counts after the grace and before the next plan of the member', () => {
  const leaving = new DrainedTargets();
  leaving.open(PLACE, leaving.startConfirmation('m', 0), 0);
  leaving.startConfirmation('other', 7000);
  assert.equal(countViolations(leaving, 5000), 0);
  assert.equal(countViolations(leaving, 8000), 1);
  leaving.startConfirmation('m', 7500);
  assert.equal(countViolations(leaving, 8000), 0);
});

// Symptom: the run blames the nodes for work at a target that an operator had given back.
// Sequence: a drain takes effect, another plan starts to be confirmed, and only then the first
// command returns. Cause: the span was opened although a later plan might have ended the drain.
test('a drain that is known only after a later confirmation began opens no span', () => {
  const leaving = new DrainedTargets();
  const confirmation = leaving.startConfirmation('m', 0);
  leaving.startConfirmation('m', 100);
  leaving.open(PLACE, confirmation, 200);
  assert.equal(countViolations(leaving, 9000), 0);
});
