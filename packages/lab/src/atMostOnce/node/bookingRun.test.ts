import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runBookings } from './bookingRun.js';

test('bookings run at most once while nodes are killed and paused, and refusals are truthful', async () => {
  // A booking runs twice if its node is killed or paused, the caller retries through another node, and
  // that node concludes from the missing response that the booking has not run.
  const report = await runBookings({ seed: 8, seconds: 4 });
  const { kills, pauses, lostResponses } = report.disturbances;
  assert.deepEqual(report.findings, []);
  assert.ok(report.bookings > 0 && kills + pauses + lostResponses > 0);
});
