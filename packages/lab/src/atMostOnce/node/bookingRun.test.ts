import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runBookings } from './bookingRun.js';

test('bookings over nodes that are killed and paused run at most once, and refusals are true', async () => {
  // Symptom: a second resin truck drove to the same street. Sequence: the node that made the
  // booking was killed or stood still, the caller asked again through another node. Cause: a
  // node that took the silence of another for proof that nothing had run.
  const report = await runBookings({ seed: 8, seconds: 4 });
  const { kills, pauses, lostAnswers } = report.disturbances;
  assert.deepEqual(report.findings, []);
  assert.ok(report.bookings > 0 && kills + pauses + lostAnswers > 0);
});
