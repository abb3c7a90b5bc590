/** Compares placement schemes at the current fleet size and at the one planned for in two years. */
import { SeededRandom, SystemClock } from '@parsleymux/base';
import { RendezvousPlacement } from '@parsleymux/fleet';
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import { BoundedPlacement } from '../common/boundedPlacement.js';
import type { IPlacementResults, PlacementFactory } from '../common/measurePlacement.js';
import { measurePlacement } from '../common/measurePlacement.js';
import type { IPlacementSize, ISizedShard } from '../common/placementCase.js';
import { makeShards } from '../common/placementCase.js';
import { SegmentNumbering, SegmentPlacement } from '../common/segmentPlacement.js';

const SERVICES = 980;
const TARGETS = 26_000;
const SHARD_TARGETS: readonly number[] = [0, 16, 8, 4];
const FLEETS: readonly Pick<IPlacementSize, 'nodes' | 'domains'>[] = [
  { nodes: 48, domains: 3 },
  { nodes: 2100, domains: 10 },
];
const BOUND = 1.25;
const DEFAULT_RUNS = 8;
/** Difference between the first node numbers of two runs, so that runs share no addresses. */
const ADDRESS_STRIDE = 10_000;

class PlacementBench extends Bench {
  override readonly summary = 'balance, movement and look-up cost of placement schemes';

  override run(options: IBenchOptions): Promise<IBenchReport> {
    const runs = parseNumbers(options, 'runs', [DEFAULT_RUNS])[0] ?? DEFAULT_RUNS;
    const tables = FLEETS.flatMap((fleet) => {
      return SHARD_TARGETS.map((maxShardTargets) => {
        const size = {
          ...fleet,
          services: SERVICES,
          targets: TARGETS,
          maxShardTargets,
          firstNode: 0,
        };
        options.log(`placement: ${size.nodes} nodes, at most ${maxShardTargets} targets a shard`);
        return measureCase(size, options.seed, runs);
      });
    });
    return Promise.resolve({
      tables,
      notes: [
        'At most 0 targets a shard: one shard per service; otherwise one per service and domain, split to the maximum.',
        'Movement is slots moved divided by slots that had to move; 1 is ideal.',
        'Look-ups return three candidates; a cold look-up is the first after a change of the live set.',
        `Means of ${runs} runs, each with different services and addresses; worst is over all runs.`,
        'Each service spans three domains.',
      ],
    });
  }
}

function measureCase(size: IPlacementSize, seed: number, runs: number): IBenchTable {
  const clock = new SystemClock();
  const results = new Map<string, IPlacementResults[]>();
  let shardCount = 0;
  for (let run = 0; run < runs; run += 1) {
    const shards = makeShards(size, new SeededRandom(seed + run));
    shardCount += shards.length / runs;
    for (const [name, make] of listSchemes(shards)) {
      const schemeResults = results.get(name) ?? [];
      const runSize = { ...size, firstNode: run * ADDRESS_STRIDE };
      schemeResults.push(measurePlacement(make, runSize, shards, clock));
      results.set(name, schemeResults);
    }
  }
  return {
    title:
      `${size.nodes} nodes, ${size.services} services, ${size.targets} targets, ` +
      `at most ${size.maxShardTargets} targets a shard: ${Math.round(shardCount)} shards`,
    columns: [
      'scheme',
      'max/mean slots',
      'worst max/mean',
      'p99/mean slots',
      'moved on loss',
      'moved on join',
      'cold look-up µs',
      'warm look-up µs',
    ],
    rows: [...results].map(([name, schemeResults]) => formatRow(name, schemeResults)),
  };
}

function listSchemes(
  shards: readonly ISizedShard[],
): readonly (readonly [string, PlacementFactory])[] {
  return [
    ['rendezvous', () => new RendezvousPlacement()],
    ['rendezvous, bounded', () => new BoundedPlacement(shards, BOUND)],
    ['segments, agreed numbers', () => new SegmentPlacement(SegmentNumbering.Agreed)],
    ['segments, by address', () => new SegmentPlacement(SegmentNumbering.ByAddress)],
  ];
}

function formatRow(name: string, results: readonly IPlacementResults[]): readonly Cell[] {
  const formatMean = (pick: (each: IPlacementResults) => number) => {
    return formatNumber(results.reduce((sum, each) => sum + pick(each), 0) / results.length);
  };
  return [
    name,
    formatMean((each) => each.maxToMean),
    formatNumber(Math.max(...results.map((each) => each.maxToMean))),
    formatMean((each) => each.p99ToMean),
    formatMean((each) => each.lossMovement),
    formatMean((each) => each.joinMovement),
    formatMean((each) => each.coldLookUpUs),
    formatMean((each) => each.warmLookUpUs),
  ];
}

/** Run by `npm run bench -- placement`. */
export const bench: Bench = new PlacementBench();
