import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { AnnouncedVersions } from './announcedVersions.js';

test('the oldest version that is not in force counts', async () => {
  const clock = new ManualClock();
  const announced = new AnnouncedVersions(clock);
  announced.recordApplied(17);
  announced.recordAnnounced(17);
  assert.equal(announced.getOldestAgeMs(), 0);
  announced.recordAnnounced(21);
  await clock.advanceBy(300);
  announced.recordAnnounced(23);
  await clock.advanceBy(100);
  announced.recordAnnounced(21);
  assert.equal(announced.getOldestAgeMs(), 400);
  announced.recordApplied(21);
  assert.equal(announced.getOldestAgeMs(), 100);
  announced.recordApplied(23);
  assert.equal(announced.getOldestAgeMs(), 0);
});
