import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { DistributionFleet } from '../../test/distributionFleet.js';
import { OutageSeries } from '../../test/outageSeries.js';

/** A confirmed change is in force on all nodes within this time, in ms. */
const BOUND_MS = 2000;
const VMS = [{ count: 20, linkMbps: 1000, capacity: 1 }];
const DOMAIN_SIZES = [2, 2, 1];
const FIRST_SEED = Number(process.env.FIRST_SEED ?? 1);
const SEEDS = Number(process.env.SEEDS ?? 20);

test('changes are in force in time on nodes that lose the store, or that their peers remove', async () => {
  // Guards against nodes that serve an old configuration because nobody tells them of a newer one.
  const late: string[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const clock = new ManualClock();
    const options = { clock, seed, vms: VMS, routes: 20, domainSizes: DOMAIN_SIZES };
    const fleet = new DistributionFleet({ ...options, applyMs: BOUND_MS });
    await fleet.start();
    const nodes = await new OutageSeries(fleet, BOUND_MS).run();
    await fleet.stop();
    const describe = ({ lateMs, node, version }: (typeof nodes)[number]) =>
      `seed ${seed}: ${node} lacks version ${version} ${lateMs} ms after the bound`;
    late.push(...nodes.map(describe));
  }
  assert.deepEqual(late, []);
});
