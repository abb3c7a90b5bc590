import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import type { ProofMode } from '../../test/keyLeaseFleet.js';
import { LeaseFleet } from '../../test/keyLeaseFleet.js';

const NODES = 24;

async function runFleet(seed: number, proofMode: ProofMode) {
  return new LeaseFleet({ clock: new ManualClock(), seed, nodes: NODES, proofMode }).run();
}

for (const seed of [1, 2, 3]) {
  test(`no revoked key is accepted beyond the lease, and others always are: seed ${seed}`, async () => {
    // Guards against nodes that accept revoked keys, or reject all keys, while the store rejects their reads.
    const figures = await runFleet(seed, 'followers');
    assert.equal(figures.servedTooLate, 0);
    assert.ok(
      figures.withoutServiceS < NODES * 0.1,
      `${figures.withoutServiceS} s without service`,
    );
  });
}

for (const seed of [1, 2, 3]) {
  test(`no revoked key is accepted beyond the lease after a restore of the store: seed ${seed}`, async () => {
    // Guards against accepting a revoked key after a fresh read of a list restored from an older copy.
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
