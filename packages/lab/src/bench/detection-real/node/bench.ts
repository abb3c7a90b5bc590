/**
 * Checks the replays against real processes: `npm run bench -- detection-real`. Target stand-ins run
 * in separate processes over HTTP on loopback, under the same faults and policies. Times depend on
 * the machine; the check is whether the policies rank in the same order as in the replays.
 */
import { SeededRandom } from '@parsleymux/base';
import type { ITargetFaults } from '@parsleymux/standins';
import { ProcessFleet } from '../../../processes/node/processFleet.js';
import { startTargetGroup } from '../../../processes/node/targetGroup.js';
import { POLICY_NAMES } from '../../../replay/common/policies.js';
import type { PolicyName } from '../../../replay/common/policies.js';
import type { Cell, IBenchOptions, IBenchReport } from '../../common/bench.js';
import { Bench, formatNumber } from '../../common/bench.js';
import { RealHome } from './realHome.js';

const WARM_UP_MS = 6000;
const FAULT_MS = 22_000;
/** Mean interval between requests under one policy, in ms. */
const INTERVAL_MS = 8;
const SERVICE = {
  member: 'donautal',
  name: 'order-booking',
  targetsPerDomain: 2,
  slots: 3,
  maxConnections: 350,
  meanServiceMs: 25,
  floorSlots: 3,
  idempotent: true,
  perSecond: 125,
};

const FAULTS: readonly (readonly [string, Partial<ITargetFaults>])[] = [
  ['fail-20', { failShare: 0.2 }],
  ['fail-100', { failShare: 1 }],
  ['slow-10x', { slowFactor: 10 }],
  ['one-way', { oneWay: true }],
];

class RealDetectionBench extends Bench {
  override readonly summary =
    'detection over loopback, to check the ranking of policies in replays';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const rows: Cell[][] = [];
    for (const [name, faults] of FAULTS) {
      options.log(name);
      const runs = POLICY_NAMES.map((policy) => runPolicy(policy, faults, options.seed));
      for (const results of await Promise.all(runs)) rows.push([name, ...results]);
    }
    return {
      tables: [
        {
          title: 'Six targets over loopback, one of them faulty',
          columns: ['fault', 'policy', 'detection ms', 'errors %', 'p99 ms', 'false ejections'],
          rows,
        },
      ],
      notes: [
        'one seed; the four policies run concurrently, each against its own targets',
        'the machine was shared, so the times only show the ranking of the policies',
      ],
    };
  }
}

async function runPolicy(
  policy: PolicyName,
  faults: Partial<ITargetFaults>,
  seed: number,
): Promise<readonly Cell[]> {
  const fleet = new ProcessFleet();
  try {
    const group = await startTargetGroup(fleet, SERVICE, seed);
    const home = new RealHome({ policy, service: SERVICE, targets: group.targets, seed });
    const random = new SeededRandom(seed);
    await home.sendFor(WARM_UP_MS, INTERVAL_MS, random);
    const faulty = group.targets[0];
    if (faulty === undefined) throw new Error('no target was started');
    await group.setFaults(faulty, faults);
    home.markFault(faulty.address);
    await home.sendFor(FAULT_MS, INTERVAL_MS, random);
    const results = await home.finish();
    return [
      policy,
      results.detectionMs?.toFixed(0) ?? 'never',
      formatNumber(100 * results.errorShare, 2),
      formatNumber(results.p99Ms),
      results.falseEjections,
    ];
  } finally {
    await fleet.dispose();
  }
}

export const bench: Bench = new RealDetectionBench();
