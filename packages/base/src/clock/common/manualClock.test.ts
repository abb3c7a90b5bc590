import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from './manualClock.js';

test('timers fire in order of due time, and continuations of a sleep run before the next timer', async () => {
  const clock = new ManualClock();
  const seen: string[] = [];
  clock.startTimer(20, () => seen.push('timer 20'));
  const sleeper = clock.sleep(10).then(() => {
    seen.push('slept 10');
    return clock.sleep(5).then(() => seen.push('slept 15'));
  });
  await clock.advanceBy(30);
  await sleeper;
  assert.deepEqual(seen, ['slept 10', 'slept 15', 'timer 20']);
  assert.equal(clock.getMonotonicTime(), 30);
});

test('an aborted sleep rejects immediately and its timer does not fire', async () => {
  const clock = new ManualClock();
  const abort = new AbortController();
  const sleeper = clock.sleep(10, abort.signal);
  abort.abort(new Error('stop'));
  await assert.rejects(sleeper, /stop/);
});
