import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from './manualClock.js';
import { StallTimeout } from './stallTimeout.js';

test('an operation that makes progress is not aborted, however long it takes', async () => {
  const clock = new ManualClock();
  const stall = new StallTimeout(clock, 500);
  for (let part = 0; part < 10; part += 1) {
    await clock.advanceBy(400);
    stall.reset(500);
  }
  assert.equal(stall.signal.aborted, false);
  await clock.advanceBy(501);
  assert.equal(stall.signal.aborted, true);
  assert.equal((stall.signal.reason as Error).name, 'TimeoutError');
});

test('nothing is aborted after the disposal', async () => {
  const clock = new ManualClock();
  const stall = new StallTimeout(clock, 500);
  stall.dispose();
  await clock.advanceBy(1000);
  assert.equal(stall.signal.aborted, false);
});
