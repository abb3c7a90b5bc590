import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ResultCode } from '@parsleymux/base';
import { BurnResponseSchema } from '@parsleymux/schema';
import type { IBurnFixture } from '../../testing/burnFixture.js';
import { createBurnFixture } from '../../testing/burnFixture.js';
import { renderBurnPage } from './burnPage.js';
import { RAW_PREFIX } from './burnRows.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const signal = new AbortController().signal;

async function readWindow(fixture: IBurnFixture, windowS: number, member = 'dobrescu') {
  const report = await fixture.reader.getReport(member);
  const window = report.services[0]!.windows.find((candidate) => candidate.windowS === windowS);
  return { window: window!, service: report.services[0]! };
}

function countRaw(fixture: IBurnFixture): number {
  const keys = [...fixture.platform.table.getRows().keys()];
  return keys.filter((key) => key.startsWith(RAW_PREFIX)).length;
}

/*
 * Guards against a report that loses the requests from before VMs were replaced, because the counts
 * are only in the memory of nodes.
 */
test('counts of removed nodes stay in the report, merged or not', async () => {
  const fixture = createBurnFixture();
  for (let count = 0; count < 5; count += 1) {
    const recorder = fixture.createRecorder();
    fixture.record(recorder, 200, 1);
    await recorder.flush();
  }
  const before = await readWindow(fixture, 3600);
  assert.equal(before.window.counts?.requests, 1000n);
  assert.equal(before.window.availabilityBurn.toFixed(3), '5.000');
  await fixture.clock.advanceBy(HOUR_MS / 2);
  await fixture.createMerger().runRound(signal);
  assert.equal(countRaw(fixture), 0);
  const after = await readWindow(fixture, 3600);
  assert.deepEqual(after.window.counts, before.window.counts);
  const other = await readWindow(fixture, 3600, 'donautal');
  assert.equal(other.window.counts?.requests, 0n);
});

/*
 * Guards against requests that are counted twice or not at all: responses to writes are lost, several
 * nodes merge the same rows concurrently, and the store is unavailable for a while. Causes are a retry
 * of a write that took effect, and merging and removing rows in two steps.
 */
test('with lost responses and concurrent mergers no request counts twice and over 99% count', async () => {
  let total = 0;
  for (let seed = 1; seed <= 40; seed += 1) {
    const fixture = createBurnFixture(seed);
    const recorders = [1, 2, 3].map(() => fixture.createRecorder());
    const mergers = [1, 2, 3].map(() => fixture.createMerger());
    const faults = fixture.platform.table.faults;
    for (let round = 0; round < 30; round += 1) {
      faults.isUnavailable = round >= 10 && round < 14;
      faults.lostResponseShare = round < 25 ? 0.3 : 0;
      for (const recorder of recorders) fixture.record(recorder, 10);
      await Promise.all([
        ...recorders.map((recorder) => recorder.flush()),
        ...mergers.map((merger) => merger.runRound(signal)),
      ]);
      await fixture.clock.advanceBy(60_000);
    }
    for (const recorder of recorders) await recorder.flush();
    for (const recorder of recorders) await recorder.flush();
    const lost = recorders.reduce((sum, recorder) => sum + recorder.getLostCount(), 0);
    const { window } = await readWindow(fixture, 6 * 3600);
    const counted = Number(window.counts?.requests);
    // Counts that were dropped may have been written all the same; none is counted twice.
    assert.ok(counted <= 900 && counted + lost >= 900, `seed ${seed}: ${counted}, lost ${lost}`);
    total += counted;
  }
  assert.ok(total > 0.99 * 40 * 900, `${total} of ${40 * 900}`);
});

/*
 * Guards against a report that temporarily shows fewer requests than before: rows are merged between
 * the scans of merged and of raw rows, and the two scans are taken for one consistent snapshot.
 */
test('a report read while rows are merged misses none of them', async () => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const fixture = createBurnFixture(seed);
    for (let count = 0; count < 3; count += 1) {
      const recorder = fixture.createRecorder();
      fixture.record(recorder, 10);
      await recorder.flush();
    }
    await fixture.clock.advanceBy(HOUR_MS / 2);
    const merging = fixture.createMerger().runRound(signal);
    const { window } = await readWindow(fixture, 3600);
    await merging;
    assert.equal(window.counts?.requests, 30n, `seed ${seed}`);
  }
});

test('the number of rows is bounded: slots older than the longest window are removed', async () => {
  const fixture = createBurnFixture();
  const recorder = fixture.createRecorder();
  for (let slot = 0; slot < 1000; slot += 1) {
    fixture.record(recorder, 1);
    await recorder.flush();
    await fixture.clock.advanceBy(300_000);
    if (slot % 50 === 49) await fixture.createMerger().runRound(signal);
  }
  assert.ok(fixture.platform.table.getRows().size <= 870);
  const { window } = await readWindow(fixture, 3 * 86_400);
  assert.ok(Math.abs(Number(window.counts?.requests) - 864) <= 1);
});

test('an alert fires only if both of its windows exceed the limit, and ends with the short one', async () => {
  const fixture = createBurnFixture();
  const recorder = fixture.createRecorder();
  fixture.record(recorder, 1000, 50);
  await recorder.flush();
  const during = await readWindow(fixture, 300);
  assert.ok(during.service.alerts.includes('page: availability over 1 h and 5 min'));
  await fixture.clock.advanceBy(HOUR_MS / 2);
  fixture.record(recorder, 1000);
  await recorder.flush();
  const later = await readWindow(fixture, 300);
  assert.ok(!later.service.alerts.includes('page: availability over 1 h and 5 min'));
  assert.ok(later.service.alerts.includes('ticket: availability over 3 d and 6 h'));
  await fixture.clock.advanceBy(4 * DAY_MS);
  assert.deepEqual((await readWindow(fixture, 300)).service.alerts, []);
});

test('slow responses burn the latency objective; rejections of malformed requests burn none', async () => {
  const fixture = createBurnFixture();
  const recorder = fixture.createRecorder();
  const request = { member: 'dobrescu', service: 'booking', code: ResultCode.Ok, durationMs: 20 };
  recorder.record({ ...request, durationMs: 1500 });
  recorder.record(request);
  recorder.record({ ...request, code: ResultCode.MalformedRequest });
  recorder.record({ ...request, code: ResultCode.IdempotencyKeyMissing });
  await recorder.flush();
  const { window } = await readWindow(fixture, 300);
  assert.equal(window.counts?.requests, 2n);
  assert.equal(window.latencyBurn.toFixed(3), '50.000');
  assert.equal(window.availabilityBurn, 0);
});

test('the page escapes names from intents', () => {
  const service = { service: '<script>alert(1)</script>', alerts: ['"><img>'] };
  const page = renderBurnPage(create(BurnResponseSchema, { services: [service] }));
  assert.ok(!page.includes('<script>') && !page.includes('<img>'));
  assert.match(page, /<svg/);
});
