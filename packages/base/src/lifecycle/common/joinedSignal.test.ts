import assert from 'node:assert/strict';
import { getEventListeners } from 'node:events';
import { test } from 'node:test';
import { JoinedSignal } from './joinedSignal.js';

test('a joined signal aborts with the reason of the first aborted source', () => {
  const sources = [new AbortController(), new AbortController()];
  const joined = new JoinedSignal(sources.map(({ signal }) => signal));
  assert.equal(joined.signal.aborted, false);
  const reason = new Error('stopped');
  sources[1]?.abort(reason);
  assert.equal(joined.signal.reason, reason);
  const late = new JoinedSignal(sources.map(({ signal }) => signal));
  assert.equal(late.signal.reason, reason);
});

test('a disposed signal leaves no listener on its sources', () => {
  // Guards against a leak of megabytes a day in an idle node: a loop joins its signal with a
  // timeout for each call, and the joined signals stay registered on the loop's signal.
  const source = new AbortController();
  const joined = new JoinedSignal([source.signal, new AbortController().signal]);
  assert.equal(getEventListeners(source.signal, 'abort').length, 1);
  joined.dispose();
  assert.equal(getEventListeners(source.signal, 'abort').length, 0);
  source.abort();
  assert.equal(joined.signal.aborted, false);
});

test('many concurrent joined signals on one source cause no MaxListenersExceededWarning', async () => {
  // A loop that sends to many peers concurrently adds a listener to its signal for each call, and
  // Node reports more than ten listeners as a possible leak.
  const warnings: Error[] = [];
  const onWarning = (warning: Error): number => warnings.push(warning);
  process.on('warning', onWarning);
  const source = new AbortController();
  const joined = Array.from({ length: 20 }, () => new JoinedSignal([source.signal]));
  await new Promise((resolve) => setImmediate(resolve));
  process.off('warning', onWarning);
  for (const one of joined) one.dispose();
  assert.deepEqual(warnings, []);
});
