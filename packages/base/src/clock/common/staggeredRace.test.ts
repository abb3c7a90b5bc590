import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from './manualClock.js';
import type { IStaggeredAttempt } from './staggeredRace.js';
import { startStaggered } from './staggeredRace.js';

const LIMIT_MS = 300;

interface IRun {
  readonly result: Promise<string>;
  readonly startsMs: number[];
  readonly signals: AbortSignal[];
}

/** Races alternatives that succeed with their position, or fail if the time is negative, after these times in ms. */
function startRace(clock: ManualClock, timesMs: readonly number[]): IRun {
  const startsMs: number[] = [];
  const signals: AbortSignal[] = [];
  const alternatives = timesMs.map((timeMs, index) => async ({ signal }: IStaggeredAttempt) => {
    startsMs.push(clock.getMonotonicTime());
    signals.push(signal);
    await clock.sleep(Math.abs(timeMs));
    if (timeMs < 0) throw new Error(`failed ${index}`);
    return String(index);
  });
  const result = startStaggered(alternatives, { clock, getLimitMs: () => LIMIT_MS });
  result.catch(() => undefined);
  return { result, startsMs, signals };
}

test('a slow alternative succeeds although others were begun beside it', async () => {
  const clock = new ManualClock();
  const { result, signals, startsMs } = startRace(clock, [700, 900, 900]);
  await clock.advanceBy(2000);
  assert.equal(await result, '0');
  assert.deepEqual(startsMs, [0, 300, 600]);
  assert.ok(signals.every(({ aborted }) => aborted));
});

test('the next alternative begins at once after a failure, and the last failure is reported', async () => {
  const clock = new ManualClock();
  const { result, startsMs } = startRace(clock, [-10, -20, -50]);
  await clock.advanceBy(2000);
  await assert.rejects(result, /failed 2/);
  assert.deepEqual(startsMs, [0, 10, 30]);
});

test('a failure does not end the race while an earlier alternative is pending', async () => {
  const clock = new ManualClock();
  const { result, startsMs } = startRace(clock, [1000, -10]);
  await clock.advanceBy(2000);
  assert.equal(await result, '0');
  assert.deepEqual(startsMs, [0, 300]);
});

test('progress postpones the next alternative', async () => {
  const clock = new ManualClock();
  let starts = 0;
  const alternative = async ({ recordProgress }: IStaggeredAttempt) => {
    starts += 1;
    for (let part = 0; part < 5; part += 1) {
      await clock.sleep(LIMIT_MS - 1);
      recordProgress();
    }
    return 'whole';
  };
  const result = startStaggered([alternative, alternative], { clock, getLimitMs: () => LIMIT_MS });
  await clock.advanceBy(5000);
  assert.equal(await result, 'whole');
  assert.equal(starts, 1);
});
