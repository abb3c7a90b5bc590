import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeSlope } from './slope.js';

test('a line is found again, without spread', () => {
  const points = [1, 2, 5, 9].map((x) => ({ x, y: 3 + 0.5 * x }));
  const { slope, base, spread } = computeSlope(points);
  assert.ok(Math.abs(slope - 0.5) < 1e-12);
  assert.ok(Math.abs(base - 3) < 1e-12);
  assert.ok(spread < 1e-9);
});

test('the spread is the standard error of the slope', () => {
  const { slope, spread } = computeSlope([
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
  ]);
  assert.ok(Math.abs(slope - 0.5) < 1e-12);
  assert.ok(Math.abs(spread - Math.sqrt(0.75)) < 1e-12);
});
