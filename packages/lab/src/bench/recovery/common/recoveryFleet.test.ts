import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IRecoverySize } from './recoveryFleet.js';
import { RecoveryFleet } from './recoveryFleet.js';

const READS_PER_SECOND = 2000;
const SIZE: IRecoverySize = {
  nodes: 48,
  members: 60,
  readsPerSecond: READS_PER_SECOND,
  startsPerSecond: 10,
  seed: 3,
};

test('a fleet that restarts as a whole stays within the reads that the platform serves', async () => {
  // Symptom: the platform refuses reads of everyone for seconds after a restart of the fleet.
  // Sequence: all nodes start at the same instant and each reads every member's configuration.
  // Cause: nobody waits for the configuration that others are about to have.
  const fleet = new RecoveryFleet(SIZE);
  await fleet.putInForce();
  const nodes = fleet.startNodes(SIZE.nodes);
  await fleet.clock.advanceBy(30_000);
  assert.ok(nodes.every((node) => node.readyMs < 10_000));
  assert.ok(nodes.every((node) => node.config.getCurrent().members.size === SIZE.members));
  const load = fleet.platform.getLoad();
  assert.equal(load.refused, 0);
  assert.ok(load.peakReadsPerSecond < READS_PER_SECOND, `${load.peakReadsPerSecond} reads`);
  await fleet.stop();
});

test('a fresh node becomes ready during an outage, from the seeds of its settings', async () => {
  // Symptom: a VM replaced during an outage never serves. Sequence: the platform goes out, VM
  // list included; a node starts. Cause: peers and configuration known from the platform only.
  const fleet = new RecoveryFleet({ ...SIZE, nodes: 6, members: 3 });
  await fleet.putInForce();
  fleet.startNodes(6);
  await fleet.clock.advanceBy(10_000);
  fleet.platform.isUnavailable = true;
  const [fresh] = fleet.startNodes(1);
  await fleet.clock.advanceBy(10_000);
  assert.ok(fresh !== undefined);
  assert.ok(fresh.config.isReady());
  assert.equal(fresh.config.getCurrent().members.size, 3);
  await fleet.stop();
});
