import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ILabTarget } from '../../processes/common/worldLayout.js';
import { Findings } from '../common/findings.js';
import { DrainedTargets } from './drainedTargets.js';

const TARGET: ILabTarget = {
  member: 'm',
  service: 's',
  failureDomain: 'north',
  address: 'link',
  control: 'control',
};

function countViolations(drained: DrainedTargets, startedAtMs: number): number {
  const findings = new Findings();
  const execution = {
    target: 't',
    key: '',
    requestId: 'r',
    state: 'finished',
    startedAtMs,
  } as const;
  drained.checkAll([execution], () => 't', findings);
  return findings.list().reduce((sum, { violations }) => sum + violations, 0);
}

test('new work violates a drain after the grace time and before the next plan of the member', () => {
  const drained = new DrainedTargets();
  drained.open(TARGET, drained.startConfirmation('m', 0), 0);
  drained.startConfirmation('other', 7000);
  assert.equal(countViolations(drained, 5000), 0);
  assert.equal(countViolations(drained, 8000), 1);
  drained.startConfirmation('m', 7500);
  assert.equal(countViolations(drained, 8000), 0);
});

// A later plan may end a drain before the command that confirmed the drain returns. A span that is
// opened then would report the nodes for correct work at the target.
test('a drain whose confirmation returns after a later one has started opens no span', () => {
  const drained = new DrainedTargets();
  const confirmation = drained.startConfirmation('m', 0);
  drained.startConfirmation('m', 100);
  drained.open(TARGET, confirmation, 200);
  assert.equal(countViolations(drained, 9000), 0);
});
