import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { INode } from '../../membership/common/membershipService.js';
import { RendezvousPlacement } from './rendezvousPlacement.js';

const DOMAINS = ['east', 'north', 'south'] as const;

function makeNodes(count: number): INode[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.0.${index >> 8}.${index & 255}:7002`,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
  }));
}

function makePlacement(nodes: readonly INode[]): RendezvousPlacement {
  const placement = new RendezvousPlacement();
  placement.setNodes(nodes);
  return placement;
}

test('candidates are distinct, cover every node, and begin in the preferred domains', () => {
  const placement = makePlacement(makeNodes(12));
  const ranked = placement.rank({ id: 'm/s', failureDomains: ['north', 'east'] }, 20);
  assert.equal(new Set(ranked.map((node) => node.address)).size, 12);
  const domains = ranked.map((node) => node.failureDomain);
  const expected = ['north', 'east', 'south'].flatMap((domain) => Array<string>(4).fill(domain));
  assert.deepEqual(domains, expected);
});

test('the order does not depend on the order of the nodes, nor on earlier calls', () => {
  const nodes = makeNodes(48);
  const forward = makePlacement(nodes);
  const backward = makePlacement([...nodes].reverse());
  const shard = { id: 'm/s', failureDomains: ['south'] };
  const first = forward.rank(shard, 1);
  const three = forward.rank(shard, 3);
  assert.deepEqual(three, backward.rank(shard, 3));
  assert.deepEqual(first, three.slice(0, 1));
});

test('losing a node moves only its own shards, each to the candidate that was next', () => {
  const nodes = makeNodes(48);
  const before = makePlacement(nodes);
  const lost = nodes[7]!;
  const after = makePlacement(nodes.filter((node) => node !== lost));
  let moved = 0;
  for (let index = 0; index < 980; index += 1) {
    const shard = { id: `m/s${index}`, failureDomains: ['north', 'east'] };
    const [home, next] = before.rank(shard, 2);
    const [newHome] = after.rank(shard, 1);
    if (home === lost) moved += 1;
    assert.equal(newHome, home === lost ? next : home);
  }
  assert.ok(moved > 0);
});

test('the few remaining nodes of a domain do not become the home of all its shards', () => {
  // Guards against the last node of a domain refusing requests for full queues: 15 of 16 nodes in
  // "north" are removed, and every shard whose targets are there prefers "north" regardless of how
  // much of it is left.
  const nodes = makeNodes(48);
  const survivor = nodes.find((node) => node.failureDomain === 'north')!;
  const remaining = nodes.filter((node) => node.failureDomain !== 'north' || node === survivor);
  const placement = makePlacement(remaining);
  let homeCount = 0;
  for (let index = 0; index < 330; index += 1) {
    const [home] = placement.rank({ id: `m/s${index}`, failureDomains: ['north'] }, 1);
    if (home === survivor) homeCount += 1;
  }
  assert.ok(homeCount < 30, `the survivor is the home of ${homeCount} of 330 shards`);
});
