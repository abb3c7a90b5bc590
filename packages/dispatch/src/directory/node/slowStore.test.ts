import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { DistributionFleet } from '../../test/distributionFleet.js';

/** A confirmed change is in force on all nodes within this time, in ms, besides what the store takes. */
const BOUND_MS = 2000;
const VMS = [{ count: 40, linkMbps: 1000, capacity: 1 }];
/** Time in which nodes learn how long the store takes, in ms. */
const LEARNING_MS = 8000;
const CHANGES = 6;
const LIMIT_MS = 10_000;
/** Share of the responses that may come too late: a node that learns of a change elsewhere reads again. */
const MAX_DISCARDED_SHARE = 0.1;

for (const storeDelayMs of [500, 1000, 2000]) {
  test(`a store that takes ${storeDelayMs} ms for each response is followed, and few responses are discarded`, async () => {
    // Guards against nodes that give up each call shortly before its response, and repeat it.
    const clock = new ManualClock();
    const options = { clock, seed: 1, vms: VMS, routes: 20, domainSizes: [2, 2, 1] };
    const fleet = new DistributionFleet({ ...options, applyMs: BOUND_MS });
    await fleet.start();
    fleet.storeDelayMs = storeDelayMs;
    await clock.advanceBy(LEARNING_MS);
    const { discarded, sent } = fleet.slowResponses;
    const times: number[] = [];
    for (let change = 0; change < CHANGES; change += 1) {
      times.push((await fleet.addRoutes(1, LIMIT_MS)).lastMs);
    }
    const { slowResponses } = fleet;
    await fleet.stop();
    assert.ok(slowResponses.sent > sent);
    const discardedNow = slowResponses.discarded - discarded;
    assert.ok(
      discardedNow <= (slowResponses.sent - sent) * MAX_DISCARDED_SHARE,
      `${discardedNow} discarded`,
    );
    assert.ok(
      Math.max(...times) <= BOUND_MS + storeDelayMs,
      `last nodes after ${times.join(', ')} ms`,
    );
  });
}

/** Most that a copy may be older than it counts, in ms: what messages take. */
const TOLERANCE_MS = 50;
const CHECK_MS = 10;
const CHANGE_INTERVAL_MS = 3170;

/** How much older copies that lack the last change are than they count, in ms. */
function listUnknownAgesMs(
  { catalog, nodes }: DistributionFleet,
  sinceMs: number,
): readonly number[] {
  return [...nodes.values()]
    .filter(({ directory }) => (directory.getCatalog()?.version ?? 0) < catalog.version)
    .map(({ directory }) => sinceMs - directory.catalog.getAgeMs());
}

test('a copy that lacks a change counts as at least as old as the change', async () => {
  // Guards against nodes that answer by a configuration that they take for current.
  const clock = new ManualClock();
  const options = { clock, seed: 1, vms: VMS, routes: 20, domainSizes: [2, 2, 1] };
  const fleet = new DistributionFleet({ ...options, applyMs: BOUND_MS });
  await fleet.start();
  let mostMs = 0;
  for (const storeDelayMs of [0, 500, 1000, 2000]) {
    fleet.storeDelayMs = storeDelayMs;
    await clock.advanceBy(LEARNING_MS);
    for (let change = 0; change < CHANGES; change += 1) {
      fleet.putRoutes(1);
      for (let sinceMs = 0; sinceMs < CHANGE_INTERVAL_MS; sinceMs += CHECK_MS) {
        mostMs = Math.max(mostMs, ...listUnknownAgesMs(fleet, sinceMs));
        await clock.advanceBy(CHECK_MS);
      }
    }
  }
  await fleet.stop();
  assert.ok(mostMs <= TOLERANCE_MS, `a copy was ${mostMs} ms older than it counted`);
});
