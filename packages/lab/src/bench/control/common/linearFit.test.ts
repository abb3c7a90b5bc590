import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeLinearFit } from './linearFit.js';

test('points on a line yield its slope and intercept, with zero standard error', () => {
  const points = [1, 2, 5, 9].map((x) => ({ x, y: 3 + 0.5 * x }));
  const { slope, intercept, standardError } = computeLinearFit(points);
  assert.ok(Math.abs(slope - 0.5) < 1e-12);
  assert.ok(Math.abs(intercept - 3) < 1e-12);
  assert.ok(standardError < 1e-9);
});

test('standardError is the standard error of the slope', () => {
  const { slope, standardError } = computeLinearFit([
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
  ]);
  assert.ok(Math.abs(slope - 0.5) < 1e-12);
  assert.ok(Math.abs(standardError - Math.sqrt(0.75)) < 1e-12);
});
