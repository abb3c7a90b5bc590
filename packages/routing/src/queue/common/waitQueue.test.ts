import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WaitQueue } from './waitQueue.js';

test('callers are served in turn, and requests of one caller by deadline', () => {
  const queue = new WaitQueue();
  for (const deadlineMs of [30, 10, 20]) queue.add({ caller: 'flood', deadlineMs });
  queue.add({ caller: 'quiet', deadlineMs: 99 });
  const order: number[] = [];
  for (;;) {
    const waiter = queue.take(() => true);
    if (waiter === undefined) break;
    order.push(waiter.deadlineMs);
  }
  assert.deepEqual(order, [10, 99, 20, 30]);
  assert.equal(queue.size, 0);
});

test('a full queue makes room at the expense of the caller with the most waiters', () => {
  const queue = new WaitQueue();
  for (const deadlineMs of [1, 2, 3]) queue.add({ caller: 'flood', deadlineMs });
  assert.equal(queue.takeFromLongest('flood'), undefined);
  assert.equal(queue.takeFromLongest('quiet')?.deadlineMs, 3);
  assert.equal(queue.countAhead('quiet'), 1);
});
