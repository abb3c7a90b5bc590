import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { ConnectionCheck } from './connectionCheck.js';

function setUp(hasResponded: boolean | undefined) {
  const clock = new ManualClock();
  const counts = { retired: 0, silences: 0, tried: 0 };
  const check = new ConnectionCheck({
    clock,
    tryFreshConnection: async () => {
      counts.tried += 1;
      await clock.sleep(100);
      return hasResponded;
    },
    retireConnections: () => (counts.retired += 1),
    recordSilences: (count) => (counts.silences += count),
  });
  return { clock, counts, check };
}

test('silent connections are retired without evidence against their target', async () => {
  // A restarted middlebox loses all open connections: requests on them get no response while new
  // connections work. If that counted against the target, a healthy target would be ejected.
  const { clock, counts, check } = setUp(true);
  const handled = [check.handleSilence(false), check.handleSilence(false)];
  await clock.advanceBy(100);
  await Promise.all(handled);
  assert.deepEqual(counts, { retired: 1, silences: 0, tried: 1 });
});

test('all silences count against a target that is also silent on a fresh connection', async () => {
  const { clock, counts, check } = setUp(false);
  const handled = [check.handleSilence(false), check.handleSilence(false)];
  await clock.advanceBy(100);
  await Promise.all(handled);
  assert.deepEqual(counts, { retired: 0, silences: 3, tried: 1 });
});

test('silence soon after a retirement or on a fresh connection counts against the target', async () => {
  const { clock, counts, check } = setUp(true);
  await check.handleSilence(true);
  const first = check.handleSilence(false);
  await clock.advanceBy(100);
  await first;
  await check.handleSilence(false);
  assert.deepEqual(counts, { retired: 1, silences: 2, tried: 1 });
});

test('a check without a free slot adds no evidence', async () => {
  // A request is overdue and all other slots are in use, so the check cannot be sent. If it counted as
  // a check without a response, a busy healthy target would be ejected after one long request.
  const { clock, counts, check } = setUp(undefined);
  const silence = check.handleSilence(false);
  await clock.advanceBy(100);
  await silence;
  assert.deepEqual(counts, { retired: 0, silences: 1, tried: 1 });
});
