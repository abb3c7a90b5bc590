import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { ProofMode } from '../../test/keyLeaseFleet.js';
import { LeaseFleet } from '../../test/keyLeaseFleet.js';

const NODES = 24;

async function play(seed: number, proofMode: ProofMode) {
  return new LeaseFleet({ clock: new ManualClock(), seed, nodes: NODES, proofMode }).run();
}

for (const seed of [1, 2, 3]) {
  test(`no ended key is served later than the lease, and others are all along: seed ${seed}`, async () => {
    // Guards against: nodes that the store turns away serve withdrawn keys, or refuse every key.
    const figures = await play(seed, 'followers');
    assert.equal(figures.servedTooLate, 0);
    assert.ok(
      figures.withoutServiceS < NODES * 0.1,
      `${figures.withoutServiceS} s without service`,
    );
  });
}

for (const seed of [1, 2, 3]) {
  test(`no ended key is served later than the lease by a store that comes back older: seed ${seed}`, async () => {
    // Guards against a key that has ended and holds again by a fresh read of an older list.
    const fleet = new LeaseFleet({
      clock: new ManualClock(),
      seed,
      nodes: NODES,
      proofMode: 'followers',
      restores: true,
    });
    const { servedTooLate } = await fleet.run();
    assert.equal(servedTooLate, 0);
  });
}
