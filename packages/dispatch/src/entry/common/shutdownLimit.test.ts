import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { ShutdownLimit } from './shutdownLimit.js';

const SHUTDOWN_MS = 5000;

interface IFixture {
  readonly clock: ManualClock;
  readonly limit: ShutdownLimit;
  /** Waits without end; records the time at which the wait ended. */
  readonly startWait: (expectedMs: number) => { readonly endedMs: () => number | undefined };
}

function openFixture(): IFixture {
  const clock = new ManualClock();
  const limit = new ShutdownLimit(clock);
  const startWait = (expectedMs: number) => {
    let endedMs: number | undefined;
    void limit
      .waitForDecision(expectedMs, new AbortController().signal, waitUntilAborted)
      .then(() => {
        endedMs = clock.getMonotonicTime();
      });
    return { endedMs: () => endedMs };
  };
  return { clock, limit, startWait };
}

function waitUntilAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () => {
      reject(new Error('withdrawn'));
    });
  });
}

test('waits end while there is time to process their requests, and not before a shutdown', async () => {
  // Guards against requests that are cut at the exit while they wait, or shortly after they got a slot.
  const { clock, limit, startWait } = openFixture();
  const waits = [0, 1200, 60_000].map(startWait);
  await clock.advanceBy(100_000);
  assert.equal(limit.waiting, 3);
  limit.start(SHUTDOWN_MS);
  await clock.advanceBy(1000);
  waits.push(startWait(1200));
  await clock.advanceBy(SHUTDOWN_MS);
  const ends = waits.map(({ endedMs }) => (endedMs() ?? NaN) - 100_000);
  assert.deepEqual(ends, [4900, 3800, 2500, 3800]);
  assert.equal(limit.waiting, 0);
});

test('a request that arrives too late to be processed does not wait', async () => {
  const { clock, limit } = openFixture();
  limit.start(SHUTDOWN_MS);
  await clock.advanceBy(SHUTDOWN_MS - 1200);
  let waits = 0;
  const wait = (): Promise<string> => {
    waits += 1;
    return Promise.resolve('granted');
  };
  const { signal } = new AbortController();
  assert.equal(await limit.waitForDecision(1200, signal, wait), undefined);
  assert.equal(waits, 0);
  assert.equal(await limit.waitForDecision(200, signal, wait), 'granted');
});

test('a wait that its caller gives up rejects, and a result is returned', async () => {
  const { limit } = openFixture();
  const caller = new AbortController();
  const wait = limit.waitForDecision(0, caller.signal, waitUntilAborted);
  caller.abort();
  await assert.rejects(wait, /withdrawn/);
  limit.start(SHUTDOWN_MS);
  const { signal } = new AbortController();
  assert.equal(await limit.waitForDecision(0, signal, () => Promise.resolve(7)), 7);
  assert.equal(limit.waiting, 0);
});
