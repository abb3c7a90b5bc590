/** Cost of control traffic to a running node by fleet size. docs/CAPACITY.md uses the results. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import type { IPoint } from '../common/linearFit.js';
import { computeLinearFit } from '../common/linearFit.js';
import { measureBurnRows } from './burnCost.js';
import { measureCalls } from './callCost.js';
import { FOOTPRINT_SHAPES, measureFootprints } from './configFootprint.js';
import { measureMembership, measureProofs } from './membershipCost.js';
import { measureConnections } from './connectionCost.js';
import type { IControlPoint } from './controlWorld.js';
import { ControlWorld } from './controlWorld.js';
import type { INodeHostUsage } from './nodeHostMain.js';

const BASE: IControlPoint = {
  nodes: 8,
  nodesPerProcess: 4,
  members: 20,
  services: 60,
  targets: 600,
  routes: 240,
  changesPerSecond: 0,
  liveTargets: 0,
};
const SETTLE_MS = 6000;
const DEFAULT_SECONDS = 12;
const BYTES_PER_MB = 1_000_000;

interface ISeries {
  readonly name: string;
  readonly unit: string;
  readonly values: readonly number[];
  readonly makePoint: (value: number) => IControlPoint;
}

const SERIES: readonly ISeries[] = [
  {
    name: 'nodes',
    unit: 'nodes',
    values: [4, 16, 64, 192, 320],
    makePoint: (nodes) => ({ ...BASE, nodes, nodesPerProcess: 8 }),
  },
  {
    name: 'targets',
    unit: 'targets in the configuration',
    values: [600, 2600, 10_400, 26_000],
    makePoint: (targets) => ({ ...BASE, targets }),
  },
  {
    name: 'services',
    unit: 'services',
    values: [60, 245, 490, 980],
    makePoint: (services) => ({ ...BASE, services, targets: 2600 }),
  },
  {
    name: 'routes',
    unit: 'routes',
    values: [240, 3000, 6000, 12_000],
    makePoint: (routes) => ({ ...BASE, routes }),
  },
  {
    name: 'members',
    unit: 'members',
    values: [2, 20, 100, 400],
    makePoint: (members) => ({ ...BASE, members, services: 400, targets: 2600, routes: 400 }),
  },
  {
    name: 'changes',
    unit: 'changes/s',
    values: [0, 0.5, 1, 2],
    makePoint: (changesPerSecond) => ({ ...BASE, changesPerSecond }),
  },
  {
    name: 'whole',
    unit: 'share of the two-year configuration, each node a process, 0.5 changes/s',
    values: [0.1, 0.25, 0.5, 1],
    makePoint: (share) => ({
      nodes: 3,
      nodesPerProcess: 1,
      members: Math.round(200 * share),
      services: Math.round(980 * share),
      targets: Math.round(26_000 * share),
      routes: Math.round(12_000 * share),
      changesPerSecond: 0.5,
      liveTargets: 0,
    }),
  },
  {
    name: 'homes',
    unit: 'targets with a home, in one fleet of one node',
    values: [0, 6, 12, 24, 48],
    makePoint: (liveTargets) => ({ ...BASE, nodes: 1, nodesPerProcess: 1, liveTargets }),
  },
];

const COLUMNS = [
  'CPU % of a core',
  'heap MB',
  'RSS MB of a process',
  'platform B/s',
  'other B/s',
  'platform reads/s',
  'platform writes/s',
] as const;

class ControlBench extends Bench {
  override readonly summary = 'processor time, memory, bytes and platform operations of control';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const selectedSeries = options.values.get('series')?.split(',');
    const seconds = parseNumbers(options, 'seconds', [DEFAULT_SECONDS])[0] ?? DEFAULT_SECONDS;
    const tables: IBenchTable[] = [];
    if (selectedSeries === undefined || selectedSeries.includes('parts')) {
      tables.push(await measureCalls(), await measureMembership(), measureProofs());
      tables.push(await measureBurnRows(), await measureConnections());
      tables.push(measureFootprints(FOOTPRINT_SHAPES));
    }
    for (const series of SERIES) {
      if (selectedSeries?.includes(series.name) === false) continue;
      tables.push(...(await measureSeries(series, seconds, options)));
    }
    return { tables, notes: NOTES };
  }
}

const NOTES: readonly string[] = [
  'Nodes are complete (MuxNode with all ports), several per process where stated; no caller traffic.',
  'CPU, heap and bytes are per node: the value of the process divided by its nodes. Heap is read after a garbage collection.',
  'Bytes are payload in both directions on all sockets, without TCP and IP overhead.',
  'Platform operations are those of the whole fleet, including the confirmations sent by the benchmark.',
  'Base: 8 nodes (4 per process), 20 members, 60 services, 600 targets, 240 routes, no changes.',
  'Series nodes has 8 nodes per process. Spread: standard error of the slope.',
];

async function measureSeries(
  series: ISeries,
  seconds: number,
  options: IBenchOptions,
): Promise<readonly IBenchTable[]> {
  const values = parseNumbers(options, series.name, series.values);
  const rows: (readonly number[])[] = [];
  for (const value of values) {
    options.log(`control: ${value} ${series.unit}`);
    const measurements = await measurePoint(series.makePoint(value), seconds * 1000, options.seed);
    options.log(`  ${measurements.map((figure) => formatNumber(figure)).join(' ')}`);
    rows.push([value, ...measurements]);
  }
  const measured: IBenchTable = {
    title: `Control against ${series.unit}`,
    columns: [series.unit, ...COLUMNS],
    rows: rows.map((row) => row.map((figure) => formatNumber(figure))),
  };
  return [measured, makeSlopeTable(series, rows)];
}

async function measurePoint(
  point: IControlPoint,
  durationMs: number,
  seed: number,
): Promise<readonly number[]> {
  const world = new ControlWorld(point, seed);
  try {
    await world.start();
    await sleep(SETTLE_MS);
    const before = await world.readUsages();
    const platformBefore = await world.readPlatform();
    const startMs = performance.now();
    await runChanges(world, durationMs);
    const platformAfter = await world.readPlatform();
    const elapsedS = (performance.now() - startMs) / 1000;
    const after = await world.readUsages();
    const changes = { before, after, elapsedS };
    return [
      ...computeUsagePerNode(changes, point.nodes),
      (platformAfter.reads - platformBefore.reads) / elapsedS,
      (platformAfter.writes - platformBefore.writes) / elapsedS,
    ];
  } finally {
    await world.dispose();
  }
}

/** Resource usage of the processes before and after a measurement. */
interface IUsageChange {
  readonly before: readonly INodeHostUsage[];
  readonly after: readonly INodeHostUsage[];
  readonly elapsedS: number;
}

/** Computes CPU %, heap MB, RSS MB of a process, and bytes/s to the platform and to peers, per node. */
function computeUsagePerNode(change: IUsageChange, nodes: number): readonly number[] {
  const { before, after, elapsedS } = change;
  const sum = (usages: readonly INodeHostUsage[], pick: (usage: INodeHostUsage) => number) => {
    return usages.reduce((total, usage) => total + pick(usage), 0);
  };
  const computeRate = (pick: (usage: INodeHostUsage) => number) => {
    return (sum(after, pick) - sum(before, pick)) / elapsedS / nodes;
  };
  return [
    computeRate((usage) => usage.cpuMs) / 10,
    sum(after, (usage) => usage.heapBytes) / nodes / BYTES_PER_MB,
    sum(after, (usage) => usage.residentBytes) / after.length / BYTES_PER_MB,
    computeRate((usage) => usage.platformBytes),
    computeRate((usage) => usage.otherBytes),
  ];
}

async function runChanges(world: ControlWorld, durationMs: number): Promise<void> {
  const { changesPerSecond } = world.point;
  const endMs = performance.now() + durationMs;
  if (changesPerSecond === 0) {
    await sleep(durationMs);
    return;
  }
  const intervalMs = 1000 / changesPerSecond;
  for (let dueMs = performance.now(); dueMs < endMs; dueMs += intervalMs) {
    await sleep(Math.max(0, dueMs - performance.now()));
    await world.confirmChange();
  }
  await sleep(Math.max(0, endMs - performance.now()));
}

function makeSlopeTable(series: ISeries, rows: readonly (readonly number[])[]): IBenchTable {
  const slopes = COLUMNS.map((column, index): readonly Cell[] => {
    const points = rows.map((row): IPoint => ({ x: row[0] ?? 0, y: row[index + 1] ?? 0 }));
    const { slope, intercept, standardError } = computeLinearFit(points);
    return [column, formatNumber(slope), formatNumber(standardError), formatNumber(intercept)];
  });
  return {
    title: `Slopes against ${series.unit}`,
    columns: ['figure', `slope per ${series.unit}`, 'spread', 'at none'],
    rows: slopes,
  };
}

/** Run by `npm run bench -- control`. */
export const bench: Bench = new ControlBench();
