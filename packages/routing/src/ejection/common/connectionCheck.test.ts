import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { ConnectionCheck } from './connectionCheck.js';

function setUp(isAnswered: boolean | undefined) {
  const clock = new ManualClock();
  const seen = { retired: 0, charged: 0, tried: 0 };
  const check = new ConnectionCheck({
    clock,
    tryFreshConnection: async () => {
      seen.tried += 1;
      await clock.sleep(100);
      return isAnswered;
    },
    retireConnections: () => (seen.retired += 1),
    recordSilences: (silences) => (seen.charged += silences),
  });
  return { clock, seen, check };
}

test('connections that went silent are retired, and their target is not charged', async () => {
  // Symptom: a healthy target is ejected after a middlebox restarted.
  // Sequence: it forgets all open connections; requests on them stay unanswered; new ones work.
  // Cause: silence on an old connection was taken for a silent target.
  const { clock, seen, check } = setUp(true);
  const silences = [check.handleSilence(false), check.handleSilence(false)];
  await clock.advanceBy(100);
  await Promise.all(silences);
  assert.deepEqual(seen, { retired: 1, charged: 0, tried: 1 });
});

test('a target that is silent on a fresh connection too is charged with all of it', async () => {
  const { clock, seen, check } = setUp(false);
  const silences = [check.handleSilence(false), check.handleSilence(false)];
  await clock.advanceBy(100);
  await Promise.all(silences);
  assert.deepEqual(seen, { retired: 0, charged: 3, tried: 1 });
});

test('silence soon after the retirement, or on a fresh connection, is the target’s own', async () => {
  const { clock, seen, check } = setUp(true);
  await check.handleSilence(true);
  const first = check.handleSilence(false);
  await clock.advanceBy(100);
  await first;
  await check.handleSilence(false);
  assert.deepEqual(seen, { retired: 1, charged: 2, tried: 1 });
});

test('a check that found no free slot adds nothing to what was seen', async () => {
  // Symptom: a busy healthy target is ejected after one unusually long request.
  // Sequence: the request is overdue; every other slot is taken, so the check can't be sent.
  // Cause: a check that was not sent counted as one that was not answered.
  const { clock, seen, check } = setUp(undefined);
  const silence = check.handleSilence(false);
  await clock.advanceBy(100);
  await silence;
  assert.deepEqual(seen, { retired: 0, charged: 1, tried: 1 });
});
