import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecentMaximum } from './recentMaximum.js';

test('a value counts for one to two windows', () => {
  const maximum = new RecentMaximum(1000);
  assert.equal(maximum.get(0), 0);
  maximum.record(5, 10);
  maximum.record(3, 20);
  assert.equal(maximum.get(900), 5);
  assert.equal(maximum.get(1100), 5);
  assert.equal(maximum.get(2200), 0);
});

test('values from before a long pause do not count', () => {
  const maximum = new RecentMaximum(1000);
  maximum.record(5, 0);
  assert.equal(maximum.get(5000), 0);
});
