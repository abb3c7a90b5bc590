/** Time and number of messages until a configuration change reaches every node. */
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import type { IDistributionOptions } from '../common/distributionFleet.js';
import { DistributionFleet } from '../common/distributionFleet.js';

const OBSERVATION_MS = 60_000;
const CHANGES = 3;
/**
 * Intervals between head reads: the default, the one allowed for the fleet size planned for in two
 * years (2100 nodes), a longer one, and one so long that changes arrive mainly through peers.
 */
const POLLS_MS: readonly number[] = [2000, 7000, 10_500, 60_000];
const FAN_OUTS: readonly number[] = [1, 2, 3, 4, 6, 8];

interface IDistributionResults {
  readonly reachedShare: number;
  readonly halfMs: number;
  readonly p99Ms: number;
  readonly lastMs: number;
  readonly announcements: number;
  readonly fetches: number;
  readonly readsPerSecond: number;
}

class DistributionBench extends Bench {
  override readonly summary =
    'time and messages until a configuration change is in force everywhere';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const tables: IBenchTable[] = [];
    for (const nodes of parseNumbers(options, 'nodes', [48, 2100])) {
      const { seed, log } = options;
      log(`distribution: ${nodes} nodes`);
      const neighbours = parseNumbers(options, 'neighbours', [8])[0] ?? 8;
      const base = { nodes, seed, neighbours, lostCalls: 0, withoutStore: 0 };
      const polls = parseNumbers(options, 'pollMs', POLLS_MS);
      const faultFree = await measureAll(base, polls, parseNumbers(options, 'fanOut', FAN_OUTS));
      tables.push(formatTable(`${nodes} nodes, no call lost`, faultFree));
      log(`distribution: ${nodes} nodes with faults`);
      const withoutStore = Math.floor(nodes * 0.9);
      const faultyBase = { ...base, lostCalls: 0.1, withoutStore };
      const faultyFanOuts = parseNumbers(options, 'faultyFanOut', [2, 3, 4, 6]);
      const faulty = await measureAll(faultyBase, polls, faultyFanOuts);
      const title = `${nodes} nodes, one call in ten lost, nine nodes in ten without the store`;
      tables.push(formatTable(title, faulty));
    }
    return {
      tables,
      notes: [
        'In one process on a manual clock: the distributors are production code; network and store are fakes.',
        'Peers are picked from eight neighbours of each node, unless set with --set neighbours.',
        'One-way delay 1 to 3 ms; a lost announcement times out after 1 s, a lost fetch after 3 s.',
        `Means of ${CHANGES} changes, each observed for ${OBSERVATION_MS / 1000} s. Messages are per node and change.`,
        'Announcements include all those in the observed time, also ones without a new revision.',
      ],
    };
  }
}

type Row = readonly [IDistributionOptions, IDistributionResults];

async function measureAll(
  base: Omit<IDistributionOptions, 'fanOut' | 'pollMs'>,
  polls: readonly number[],
  fanOuts: readonly number[],
): Promise<readonly Row[]> {
  const rows: Row[] = [];
  for (const pollMs of polls) {
    for (const fanOut of fanOuts) {
      const options = { ...base, fanOut, pollMs };
      rows.push([options, await measureFleet(options)]);
    }
  }
  return rows;
}

async function measureFleet(options: IDistributionOptions): Promise<IDistributionResults> {
  const fleet = new DistributionFleet(options);
  await fleet.start();
  const results: IDistributionResults[] = [];
  for (let change = 0; change < CHANGES; change += 1) results.push(await measureChange(fleet));
  await fleet.stop();
  return computeMeans(results);
}

async function measureChange(fleet: DistributionFleet): Promise<IDistributionResults> {
  const { nodes } = fleet.options;
  const startMs = fleet.clock.getMonotonicTime();
  await fleet.confirmChange();
  await fleet.clock.advanceBy(OBSERVATION_MS);
  const times = fleet.arrivals.map((arrivalMs) => arrivalMs - startMs);
  times.sort((left, right) => left - right);
  const messages = fleet.getMessages();
  const findTime = (share: number) => times[Math.ceil(share * nodes) - 1] ?? Infinity;
  return {
    reachedShare: times.length / nodes,
    halfMs: findTime(0.5),
    p99Ms: findTime(0.99),
    lastMs: findTime(1),
    announcements: messages.announcements / nodes,
    fetches: messages.fetches / nodes,
    readsPerSecond: (fleet.platform.table.readCount * 1000) / OBSERVATION_MS,
  };
}

function computeMeans(results: readonly IDistributionResults[]): IDistributionResults {
  const computeMean = (pick: (each: IDistributionResults) => number) => {
    return results.reduce((sum, each) => sum + pick(each), 0) / results.length;
  };
  return {
    reachedShare: computeMean((each) => each.reachedShare),
    halfMs: computeMean((each) => each.halfMs),
    p99Ms: computeMean((each) => each.p99Ms),
    lastMs: Math.max(...results.map((each) => each.lastMs)),
    announcements: computeMean((each) => each.announcements),
    fetches: computeMean((each) => each.fetches),
    readsPerSecond: computeMean((each) => each.readsPerSecond),
  };
}

function formatTable(title: string, rows: readonly Row[]): IBenchTable {
  return {
    title,
    columns: [
      'head poll ms',
      'fan-out',
      'nodes reached',
      'half ms',
      'p99 ms',
      'worst last ms',
      'announcements',
      'fetches',
      'store reads/s',
    ],
    rows: rows.map(([options, results]) => formatRow(options, results)),
  };
}

function formatRow(options: IDistributionOptions, results: IDistributionResults): readonly Cell[] {
  return [
    options.pollMs,
    options.fanOut,
    formatNumber(results.reachedShare, 4),
    formatNumber(results.halfMs),
    formatNumber(results.p99Ms),
    formatNumber(results.lastMs),
    formatNumber(results.announcements),
    formatNumber(results.fetches),
    formatNumber(results.readsPerSecond),
  ];
}

/** Run by `npm run bench -- distribution`. */
export const bench: Bench = new DistributionBench();
