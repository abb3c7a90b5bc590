import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { INode } from '../../membership/common/membershipService.js';
import { NeighbourSet } from './neighbourSet.js';

function makeNodes(count: number): INode[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.0.${index >> 8}.${index & 255}:7002`,
    failureDomain: 'north',
  }));
}

function listNeighbours(nodes: readonly INode[], self: string): readonly string[] {
  const neighbours = new NeighbourSet(self);
  neighbours.setNodes(nodes);
  return neighbours.getAddresses();
}

test('neighbours are few, never include the node itself, and stay when other nodes are removed', () => {
  const nodes = makeNodes(500);
  const self = nodes[7]!.address;
  const before = listNeighbours(nodes, self);
  assert.equal(before.length, 8);
  assert.ok(!before.includes(self));
  const removed = before[3]!;
  const after = listNeighbours(
    nodes.filter(({ address }) => address !== removed),
    self,
  );
  assert.equal(before.filter((address) => after.includes(address)).length, 7);
});

test('in a small fleet all other nodes are neighbours', () => {
  assert.deepEqual(listNeighbours(makeNodes(1), '10.0.0.0:7002'), []);
  assert.equal(listNeighbours(makeNodes(4), '10.0.0.0:7002').length, 3);
});

test('nearly every node can be reached over neighbours', () => {
  // Guards against changes that never reach some nodes by gossip: with scores that depend on the
  // peer alone, groups of nodes choose only each other as neighbours.
  const nodes = makeNodes(500);
  const links = new Map(nodes.map(({ address }) => [address, listNeighbours(nodes, address)]));
  const reached = new Set([nodes[0]!.address]);
  for (const address of reached) {
    for (const next of links.get(address) ?? []) reached.add(next);
  }
  assert.ok(reached.size >= 498, `${reached.size} of 500`);
});
