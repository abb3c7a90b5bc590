import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { DistributionFleet } from '../../test/distributionFleet.js';

/** A confirmed change is in force on all nodes within this time, in ms. */
const BOUND_MS = 2500;
/** Six VMs of the fleet have fast links; the others have slow ones. */
const VMS = [
  { count: 6, linkMbps: 200, capacity: 1 },
  { count: 104, linkMbps: 10, capacity: 0.05 },
];
/** Share of all links that requests take. */
const BUSY_SHARE = 0.3;
/** When a follower loses power, in ms after the change. */
const FOLLOWER_LOSS_MS = 60;
/** When nodes lose power that have been sent a change and would send it on, in ms after the change. */
const REDIRECT_LOSS_MS = 420;
const LIMIT_MS = 10_000;
/** In the last two, first followers of all failure domains are lost soon after each other. */
const SERIES_SEEDS = [1, 2, 154, 169];
const SERIES_CHANGES = 6;

async function startFleet(routes: number, vms = VMS, seed = 1): Promise<DistributionFleet> {
  const clock = new ManualClock();
  const fleet = new DistributionFleet({ clock, seed, vms, routes, busyShare: BUSY_SHARE });
  await fleet.start();
  return fleet;
}

test('a small change right after one of 1,400 routes is in force on all nodes in time', async () => {
  // Guards against nodes that still download all routes for the previous change, on slow links.
  const fleet = await startFleet(2810);
  await fleet.addRoutes(1400, 1360);
  const { lastMs } = await fleet.addRoutes(1, LIMIT_MS);
  await fleet.stop();
  assert.ok(lastMs <= BOUND_MS, `in force on all nodes after ${lastMs} ms`);
});

test('a change of one route sends no other routes to the nodes', async () => {
  // Guards against a cost in proportion to the whole configuration instead of the change.
  const fleet = await startFleet(1400);
  const { bytesPerNode } = await fleet.addRoutes(1, LIMIT_MS);
  await fleet.stop();
  assert.ok(bytesPerNode < 2000, `${bytesPerNode} bytes per node`);
});

test('a large change is in force in time although a follower loses power while it sends it', async () => {
  // Guards against nodes that wait for the rest of a transfer until it is too late for another one.
  const fleet = await startFleet(10);
  fleet.clock.startTimer(FOLLOWER_LOSS_MS, () => fleet.findFollower(0)?.stop());
  const { lastMs } = await fleet.addRoutes(1400, LIMIT_MS);
  await fleet.stop();
  assert.ok(lastMs <= BOUND_MS, `in force on all nodes after ${lastMs} ms`);
});

test('a large change is in force in time if all links are slow', async () => {
  // Guards against a single source: the follower's link carries the change once for each node of its domain.
  const fleet = await startFleet(10, [{ count: 110, linkMbps: 10, capacity: 1 }]);
  const { lastMs } = await fleet.addRoutes(3000, LIMIT_MS);
  await fleet.stop();
  assert.ok(lastMs <= BOUND_MS, `in force on all nodes after ${lastMs} ms`);
});

test('a node that is sent on to one without power gets the change in time', async () => {
  // Guards against nodes that wait for a peer that can't send: many are redirected to the first receivers.
  const fleet = await startFleet(10, [{ count: 110, linkMbps: 10, capacity: 1 }]);
  fleet.clock.startTimer(REDIRECT_LOSS_MS, () => {
    fleet.stopReceivers(0);
  });
  const { lastMs } = await fleet.addRoutes(1400, LIMIT_MS);
  await fleet.stop();
  assert.ok(lastMs <= BOUND_MS, `in force on all nodes after ${lastMs} ms`);
});

for (const seed of SERIES_SEEDS) {
  test(`changes in series are in force in time while followers lose power (seed ${seed})`, async () => {
    // Guards against a transfer of one version that keeps nodes from the next one.
    const vms = [
      { count: 9, linkMbps: 200, capacity: 1 },
      { count: 27, linkMbps: 10, capacity: 0.05 },
    ];
    const fleet = await startFleet(100, vms, seed);
    const worstMs = await fleet.runSeries(SERIES_CHANGES, BOUND_MS * 2);
    await fleet.stop();
    assert.ok(worstMs <= BOUND_MS, `in force on all nodes after ${worstMs} ms`);
  });
}
