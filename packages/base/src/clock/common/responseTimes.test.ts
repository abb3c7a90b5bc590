import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResponseTimes } from './responseTimes.js';

const MIN_MS = 300;
const MAX_MS = 3000;

test('fast responses leave the limit at its minimum', () => {
  const times = new ResponseTimes(MAX_MS);
  assert.equal(times.getLimitMs(MIN_MS), MIN_MS);
  for (let count = 0; count < 20; count += 1) times.recordResponse(4 + (count % 3));
  assert.equal(times.getLimitMs(MIN_MS), MIN_MS);
  assert.ok(times.getProbableMs() < 20);
});

test('the limit is above the time that responses take, and returns when they are fast again', () => {
  const times = new ResponseTimes(MAX_MS);
  times.recordResponse(4);
  for (let count = 0; count < 3; count += 1) times.recordResponse(800);
  assert.ok(times.getLimitMs(MIN_MS) > 800);
  for (let count = 0; count < 60; count += 1) times.recordResponse(4);
  assert.equal(times.getLimitMs(MIN_MS), MIN_MS);
});

test('responses that take equally long are within the limit', () => {
  const times = new ResponseTimes(MAX_MS);
  for (let count = 0; count < 500; count += 1) times.recordResponse(1000);
  assert.equal(times.getLimitMs(MIN_MS), 1500);
});

test('the limit doubles with each one that expires, until the next response', () => {
  // Guards against a slow peer or store whose responses are all given up, so that nothing is learned of them.
  const times = new ResponseTimes(MAX_MS);
  times.recordExpired();
  assert.equal(times.getLimitMs(MIN_MS), MIN_MS * 2);
  times.recordExpired();
  assert.equal(times.getLimitMs(MIN_MS), MIN_MS * 4);
  for (let count = 0; count < 3000; count += 1) times.recordExpired();
  assert.equal(times.getLimitMs(MIN_MS), MAX_MS);
  times.recordResponse(10);
  assert.equal(times.getLimitMs(MIN_MS), MIN_MS);
});

test('the limit has a maximum', () => {
  const times = new ResponseTimes(MAX_MS);
  times.recordResponse(60_000);
  assert.equal(times.getLimitMs(MIN_MS), MAX_MS);
});
