import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { ITargetResponse } from '@parsleymux/routing';
import { makeTarget } from '../../test/builders.js';
import { parseRetryAfterMs } from './retryAfter.js';
import { TargetNotices } from './targetNotices.js';

const TARGET = makeTarget('i-1', { bornMs: 1000 });

function makeAnswer(fields: Partial<ITargetResponse> = {}): ITargetResponse {
  const body = new Uint8Array();
  return {
    status: 200,
    headers: [],
    body,
    notRun: false,
    draining: false,
    latencyMs: 1,
    ...fields,
  };
}

function makeShed(retryAfter: string): ITargetResponse {
  return makeAnswer({ status: 503, notRun: true, headers: [['retry-after', retryAfter]] });
}

test('a target that says that it leaves is left out for the rest of its life', async () => {
  const clock = new ManualClock();
  const notices = new TargetNotices(clock);
  notices.record(TARGET, makeAnswer({ draining: true }));
  notices.record(TARGET, makeAnswer());
  await clock.advanceBy(60_000);
  assert.ok(notices.isExcluded(TARGET));
  assert.ok(notices.isLeaving(TARGET));
});

test('the next life of a target that left may be sent requests', () => {
  const notices = new TargetNotices(new ManualClock());
  notices.record(TARGET, makeAnswer({ draining: true }));
  assert.equal(notices.isExcluded(makeTarget('i-1', { bornMs: 2000 })), false);
});

test('a target that asks to be left alone is left alone for so long', async () => {
  const clock = new ManualClock();
  const notices = new TargetNotices(clock);
  notices.record(TARGET, makeShed('2.5'));
  await clock.advanceBy(2400);
  assert.ok(notices.isExcluded(TARGET));
  await clock.advanceBy(100);
  assert.equal(notices.isExcluded(TARGET), false);
  assert.equal(notices.isLeaving(TARGET), false);
});

test('a wait that makes no sense is passed over, and a huge one is cut', async () => {
  const clock = new ManualClock();
  const notices = new TargetNotices(clock);
  for (const text of ['-5', 'soon', '', 'NaN', '1e9']) notices.record(TARGET, makeShed(text));
  assert.equal(notices.isExcluded(TARGET), false);
  notices.record(TARGET, makeShed('999999999'));
  await clock.advanceBy(600_000);
  assert.equal(notices.isExcluded(TARGET), false);
});

test('a Retry-After of an answer that ran says nothing of the target', () => {
  const notices = new TargetNotices(new ManualClock());
  notices.record(TARGET, makeAnswer({ status: 500, headers: [['retry-after', '3']] }));
  assert.equal(notices.isExcluded(TARGET), false);
});

test('a limit is passed on with its age until an answer does not name it, and holds for one life', async () => {
  const clock = new ManualClock();
  const notices = new TargetNotices(clock);
  notices.record(TARGET, makeAnswer({ rateLimit: 1.5 }));
  await clock.advanceBy(300);
  const limit = { targetId: TARGET.id, bornMs: TARGET.bornMs, ratePerS: 1.5, ageMs: 300 };
  assert.deepEqual(notices.listLimits([TARGET]), [limit]);
  assert.deepEqual(notices.listLimits([makeTarget('i-1', { bornMs: 2000 })]), []);
  assert.equal(notices.isExcluded(TARGET), false);
  notices.record(TARGET, makeAnswer());
  assert.deepEqual(notices.listLimits([TARGET]), []);
});

test('Retry-After is read as seconds or as a date', () => {
  const wallMs = Date.parse('Fri, 04 Dec 2026 10:00:00 GMT');
  assert.equal(parseRetryAfterMs('3', wallMs), 3000);
  assert.equal(parseRetryAfterMs('0.25', wallMs), 250);
  assert.equal(parseRetryAfterMs('Fri, 04 Dec 2026 10:00:07 GMT', wallMs), 7000);
  assert.equal(parseRetryAfterMs('Fri, 04 Dec 2026 09:00:00 GMT', wallMs), 0);
  assert.equal(parseRetryAfterMs('-1', wallMs), undefined);
});
