import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as sleepTurn } from 'node:timers/promises';
import { ManualClock, MuxError, ResultCode, SystemClock } from '@parsleymux/base';
import { WorkerIntentReader } from './workerIntentReader.js';

const ROUTES = 1500;
const signal = new AbortController().signal;

function formatIntent(routeCount: number, extra = ''): string {
  const routes = Array.from({ length: routeCount }, (_, index) => {
    return { name: `r${index}`, host: `h${index}.example`, service: 's', idempotent: true };
  });
  return `${JSON.stringify({ member: 'dobrescu', services: [{ name: 's' }], routes })}${extra}`;
}

/*
 * Guards against pauses for all callers of a node while one member submits large intents repeatedly,
 * because they are parsed on the thread that serves callers.
 */
test('parsing a large intent does not block the thread that serves callers', async () => {
  const reader = new WorkerIntentReader({ clock: new SystemClock() });
  const progress = { isDone: false };
  const reading = reader.read(formatIntent(ROUTES), signal).finally(() => {
    progress.isDone = true;
  });
  let turns = 0;
  while (!progress.isDone) {
    await sleepTurn();
    turns += 1;
  }
  assert.equal((await reading).routes.length, ROUTES);
  // If it were parsed in place, the intent would be available within one or two turns.
  assert.ok(turns > 20, `${turns} turns of the event loop`);
});

test('a large malformed intent is rejected with its first faults only', async () => {
  const reader = new WorkerIntentReader({ clock: new SystemClock() });
  const broken = formatIntent(ROUTES).replaceAll('"idempotent":true', '"idempotent":7');
  for (const text of [broken, formatIntent(ROUTES, ']'), '['.repeat(400_000)]) {
    await assert.rejects(reader.read(text, signal), (error: unknown) => {
      assert.ok(error instanceof MuxError);
      assert.equal(error.code, ResultCode.MalformedIntent);
      assert.ok(error.summary.length < 5000);
      return true;
    });
  }
});

test('parsing stops at its time limit, and reads beyond the queue limit are rejected', async () => {
  const clock = new ManualClock();
  const reader = new WorkerIntentReader({ clock, limitMs: 1 });
  const slow = reader.read(formatIntent(ROUTES), signal);
  const settled = slow.then(
    () => 'read',
    (error: unknown) => (error as MuxError).summary,
  );
  await clock.advanceBy(2);
  assert.match(await settled, /too much time/);
  const flood = Array.from({ length: 40 }, () =>
    reader.read(formatIntent(60, ' '.repeat(9000)), signal).then(
      () => 0,
      (error: unknown) => (error as MuxError).code,
    ),
  );
  const codes = await Promise.all(flood);
  assert.equal(codes.filter((code) => code === 0).length, 22);
  assert.equal(codes.filter((code) => code === ResultCode.LimitExceeded).length, 18);
});
