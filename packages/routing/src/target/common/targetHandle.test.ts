import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetState } from '@parsleymux/schema';
import { buildService } from '../../test/common/builders.js';
import { HealthStatus, TargetHandle } from './targetHandle.js';

const START_MS = 1000;
const WALL_MS = 5_000_000;

function makeTarget(state = TargetState.SERVING, leaveAtMs = 0n) {
  const [target] = buildService(1).targets;
  assert.ok(target);
  return { ...target, state, leaveAtMs };
}

test('each kind of drain is timed from when it became known, and ends with it', () => {
  // Guards against drained targets that receive work unnoticed: a plan drains a target, a faulty
  // home keeps dispatching to it, and the invariant considers planned removal times only.
  const handle = new TargetHandle(makeTarget(), START_MS);
  assert.equal(handle.getDrainingMs(WALL_MS, START_MS + 9000), 0);
  handle.update(makeTarget(TargetState.DRAINING), START_MS + 1000);
  handle.update(makeTarget(TargetState.DRAINING), START_MS + 2000);
  assert.equal(handle.getDrainingMs(WALL_MS, START_MS + 5000), 4000);
  handle.update(makeTarget(TargetState.SERVING, BigInt(WALL_MS)), START_MS + 5000);
  assert.equal(handle.getDrainingMs(WALL_MS + 700, START_MS + 6000), 700);
  handle.update(makeTarget(), START_MS + 6000);
  handle.setHealthStatus(HealthStatus.Draining, 'reports that it is draining', START_MS + 6000);
  assert.equal(handle.getDrainingMs(WALL_MS, START_MS + 6300), 300);
  handle.setHealthStatus(HealthStatus.Serving, '', START_MS + 7000);
  assert.equal(handle.getDrainingMs(WALL_MS, START_MS + 9000), 0);
});
