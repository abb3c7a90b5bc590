import assert from 'node:assert/strict';
import { getEventListeners } from 'node:events';
import { test } from 'node:test';
import { JoinedSignal } from './joinedSignal.js';

test('a joined signal aborts with the first of its sources, and with its reason', () => {
  const sources = [new AbortController(), new AbortController()];
  const joined = new JoinedSignal(sources.map(({ signal }) => signal));
  assert.equal(joined.signal.aborted, false);
  const reason = new Error('stopped');
  sources[1]?.abort(reason);
  assert.equal(joined.signal.reason, reason);
  const late = new JoinedSignal(sources.map(({ signal }) => signal));
  assert.equal(late.signal.reason, reason);
});

test('what was let go leaves nothing in a source that lives on', () => {
  // Symptom: the memory of a node that does nothing grows by megabytes a day. Sequence: a loop
  // joins its own signal with a limit for each call. Cause: the joined signals stay registered.
  const source = new AbortController();
  const joined = new JoinedSignal([source.signal, new AbortController().signal]);
  assert.equal(getEventListeners(source.signal, 'abort').length, 1);
  joined.dispose();
  assert.equal(getEventListeners(source.signal, 'abort').length, 0);
  source.abort();
  assert.equal(joined.signal.aborted, false);
});

test('many calls at once under one signal bring no warning of forgotten listeners', async () => {
  // Symptom: MaxListenersExceededWarning in a node's log. Sequence: a loop tells many peers at
  // once. Cause: each call listens to the loop's signal, and Node takes more than ten for a leak.
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
