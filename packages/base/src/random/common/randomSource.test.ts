import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from './randomSource.js';

const SEEDS = 1000;

test('the first numbers of adjacent seeds are uniformly distributed', () => {
  // Guards against nodes that start together and poll in lockstep: without warm-up steps, the
  // generator's first output, which is the first jitter of a process, is close to 1 for every seed.
  for (const skipped of [0, 1, 2]) {
    const buckets = Array<number>(10).fill(0);
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const random = new SeededRandom(seed);
      for (let index = 0; index < skipped; index += 1) random.getFloat();
      const bucket = random.getInteger(buckets.length);
      buckets[bucket] = (buckets[bucket] ?? 0) + 1;
    }
    for (const count of buckets) assert.ok(count > 60 && count < 140, buckets.join(' '));
  }
});
