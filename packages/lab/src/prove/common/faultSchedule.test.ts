import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseFaultKinds } from './faultKindList.js';
import { FAULT_KINDS, makeSchedule } from './faultSchedule.js';

test('a seed gives the same schedule each time, in order, and another seed another', () => {
  const schedule = makeSchedule({ seed: 7, seconds: 60, kinds: FAULT_KINDS });
  assert.deepEqual(makeSchedule({ seed: 7, seconds: 60, kinds: FAULT_KINDS }), schedule);
  assert.notDeepEqual(makeSchedule({ seed: 8, seconds: 60, kinds: FAULT_KINDS }), schedule);
  assert.equal(schedule.length, 40);
  const times = schedule.map(({ atMs }) => atMs);
  assert.deepEqual(
    times,
    [...times].sort((left, right) => left - right),
  );
});

test('long schedules contain every kind, and a choice of kinds only those', () => {
  const kinds = new Set(
    makeSchedule({ seed: 1, seconds: 600, kinds: FAULT_KINDS }).map(({ kind }) => kind),
  );
  assert.deepEqual([...kinds].sort(), [...FAULT_KINDS].sort());
  const chosen = makeSchedule({ seed: 1, seconds: 60, kinds: ['node-kill'] });
  assert.deepEqual([...new Set(chosen.map(({ kind }) => kind))], ['node-kill']);
});

test('a command line names kinds, or all with nothing, and none that do not exist', () => {
  assert.deepEqual(parseFaultKinds('node-pause,node-kill', FAULT_KINDS), [
    'node-kill',
    'node-pause',
  ]);
  assert.deepEqual(parseFaultKinds('', FAULT_KINDS), FAULT_KINDS);
  assert.throws(
    () => parseFaultKinds('node-kil', FAULT_KINDS),
    /there is no kind of fault "node-kil"/,
  );
});
