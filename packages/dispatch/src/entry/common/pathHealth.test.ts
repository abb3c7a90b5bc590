import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { makeTarget } from '../../test/builders.js';
import { PathHealth } from './pathHealth.js';

test('a broken path is left out for a while, unless its target has started anew', async () => {
  // Symptom: a target that is back gets no requests of one node. Sequence: the node can't connect
  // while the target restarts under its identifier. Cause: the path was remembered by identifier.
  const clock = new ManualClock();
  let known = makeTarget('t1', { bornMs: 1000 });
  const paths = new PathHealth(clock, () => known);
  paths.recordUnreachable(known);
  assert.deepEqual(paths.listUnreachable(), ['t1']);
  known = makeTarget('t1', { bornMs: 2000 });
  assert.deepEqual(paths.listUnreachable(), []);
  paths.recordUnreachable(known);
  await clock.advanceBy(2000);
  assert.deepEqual(paths.listUnreachable(), []);
});
