import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseFaultKinds } from './faultKindList.js';
import { FAULT_KINDS, makeSchedule } from './faultSchedule.js';

test('a seed always gives the same ordered schedule, and different seeds give different ones', () => {
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

test('long schedules contain every kind, and a selection of kinds only these', () => {
  const kinds = new Set(
    makeSchedule({ seed: 1, seconds: 600, kinds: FAULT_KINDS }).map(({ kind }) => kind),
  );
  assert.deepEqual([...kinds].sort(), [...FAULT_KINDS].sort());
  const chosen = makeSchedule({ seed: 1, seconds: 60, kinds: ['node-kill'] });
  assert.deepEqual([...new Set(chosen.map(({ kind }) => kind))], ['node-kill']);
});

test('a list selects kinds, an empty list selects all, and unknown names are rejected', () => {
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
