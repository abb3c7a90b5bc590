import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { IMember } from './authority.js';
import { NodeDirectory } from './nodeDirectory.js';

const MEMBER: IMember = {
  address: '10.0.0.1:1',
  failureDomain: 'north',
  stateAddress: '10.0.0.1:2',
  incarnation: 7,
  capacity: 1,
};

test('members that can relay are known although a follower of an earlier version dropped it', () => {
  // Guards against nodes that ask no peer after an upgrade, since they first received the members without the flag.
  const { members } = new NodeDirectory(new ManualClock());
  const { address: key } = MEMBER;
  const canRelay = { ...MEMBER, canRelay: true };
  members.setAll({ version: 1, changes: [{ key, value: MEMBER }] }, 0);
  members.setAll({ version: 2, changes: [{ key, value: canRelay }] }, 0);
  assert.equal(members.get(key)?.canRelay, true);
  members.setAll({ version: 3, changes: [{ key, value: MEMBER }] }, 0);
  assert.equal(members.get(key)?.canRelay, true);
  members.setAll({ version: 4, changes: [{ key, value: { ...MEMBER, incarnation: 8 } }] }, 0);
  assert.notEqual(members.get(key)?.canRelay, true);
});
