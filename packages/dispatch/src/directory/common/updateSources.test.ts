import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { IMember } from './authority.js';
import { NodeDirectory } from './nodeDirectory.js';
import { listUpdateSources } from './updateSources.js';

function makeMember(address: string, failureDomain: string): IMember {
  return { address, failureDomain, stateAddress: address, incarnation: 1, capacity: 1 };
}

test('a node asks its own failure domain first, the first follower asks the others', () => {
  // Guards against traffic between failure domains that isn't needed, and a follower that asks who asks it.
  const directory = new NodeDirectory(new ManualClock());
  const self = makeMember('a1:1', 'a');
  assert.deepEqual(listUpdateSources({ directory, self, seeds: ['a1:1', 's:1'] }), ['s:1']);
  const members = [self, makeMember('a2:1', 'a'), makeMember('a3:1', 'a'), makeMember('b1:1', 'b')];
  const changes = members.map((value) => ({ key: value.address, value }));
  directory.members.setAll({ version: 1, changes }, 0);
  const [first = '', second = '', third = ''] = directory.rankFollowers('a');
  const listFor = (address: string) =>
    listUpdateSources({ directory, self: makeMember(address, 'a'), seeds: [] });
  assert.deepEqual(listFor(first), ['b1:1', second]);
  assert.deepEqual(listFor(second), [first, 'b1:1']);
  assert.deepEqual(listFor(third), [first, second, 'b1:1']);
  const listAfter = (lastSender: string) =>
    listUpdateSources({ directory, self: makeMember(third, 'a'), seeds: [], lastSender });
  assert.deepEqual(listAfter(first), [first]);
  assert.deepEqual(listAfter(second), [first, second, 'b1:1']);
});
