import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IMember } from './authority.js';
import { listHighCapacityMembers } from './highCapacityMembers.js';

function makeMembers(...groups: readonly (readonly [count: number, capacity: number])[]) {
  return groups.flatMap(([count, capacity]): IMember[] => {
    return Array.from({ length: count }, (_, index) => ({
      address: `10.0.0.${index}:${Math.round(capacity * 100)}`,
      stateAddress: '',
      failureDomain: 'north',
      incarnation: 1,
      capacity,
    }));
  });
}

test('if a few high-capacity VMs suffice, no small VM works for others', () => {
  // Guards against small VMs (a quarter of a core, 20 Mbit/s) as followers or homes: when most VMs of a
  // fleet are small, so is the median capacity; fetches of tables then time out and nodes read the store.
  const members = makeMembers([15, 1.35], [278, 0.2]);
  assert.deepEqual(listHighCapacityMembers(members), members.slice(0, 15));
});

test('VMs of similar capacity all work for others', () => {
  assert.equal(listHighCapacityMembers(makeMembers([40, 0.54], [8, 0.5])).length, 48);
});

test('high-capacity VMs that are too few share the work with VMs of median capacity', () => {
  assert.equal(listHighCapacityMembers(makeMembers([2, 1.35], [30, 0.5], [10, 0.1]), 3).length, 32);
  assert.equal(listHighCapacityMembers(makeMembers([15, 1.35], [2085, 0.2])).length, 2100);
  assert.deepEqual(listHighCapacityMembers([]), []);
});

test('the last high-capacity VM of a failure domain remains its follower', () => {
  // Guards against a small VM as follower while two of three high-capacity VMs of a failure domain restart.
  const members = makeMembers([1, 1.35], [57, 0.2]);
  assert.deepEqual(listHighCapacityMembers(members), members.slice(0, 1));
  assert.equal(listHighCapacityMembers(members, 3).length, 58);
});
