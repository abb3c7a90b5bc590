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

test('a restart of the whole fleet stays within the read rate of the platform', async () => {
  // Guards against overload of the platform after a restart of the fleet: all nodes start at the same
  // time and each reads every member's configuration from the store, instead of waiting for the
  // configuration that peers are about to fetch. The platform then refuses reads for seconds.
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

test('a new node becomes ready during a platform outage from the seed peers in its settings', async () => {
  // Guards against a VM replaced during an outage never becoming ready, because it can learn of peers
  // and of the configuration only from the platform, which is unavailable together with its VM list.
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
