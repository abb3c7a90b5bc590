/** Platform load and time to readiness when a fleet starts or the platform recovers. */
import type { Cell, IBenchOptions, IBenchReport, IBenchTable } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';
import type { IRecoverySize, RecoveryNode } from '../common/recoveryFleet.js';
import { RecoveryFleet } from '../common/recoveryFleet.js';

const READS_PER_SECOND = 2000;
const OBSERVATION_MS = 120_000;
const OUTAGE_MS = 600_000;
const SETTLE_MS = 90_000;

class RecoveryBench extends Bench {
  override readonly summary = 'load on the platform when a fleet restarts or the platform recovers';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const rows: (readonly Cell[])[] = [];
    for (const nodes of parseNumbers(options, 'nodes', [48, 400, 2100])) {
      for (const members of parseNumbers(options, 'members', [20, 100])) {
        options.log(`recovery: ${nodes} nodes, ${members} members`);
        for (const startsPerSecond of parseNumbers(options, 'starts', [0, 20])) {
          const { seed } = options;
          const readsPerSecond = READS_PER_SECOND;
          const size = { nodes, members, readsPerSecond, startsPerSecond, seed };
          rows.push(...(await measureSize(size)));
        }
      }
    }
    return { tables: [makeTable(rows)], notes: listNotes() };
  }
}

function makeTable(rows: readonly (readonly Cell[])[]): IBenchTable {
  return {
    title: `A platform that serves ${READS_PER_SECOND} reads per second`,
    columns: [
      'event',
      'nodes',
      'members',
      'starts/s',
      'peak reads/s',
      'reads',
      'refused',
      'half ready s',
      'all ready s',
    ],
    rows,
  };
}

function listNotes(): readonly string[] {
  return [
    'In one process on a manual clock: membership and distributor are production code, the rest are fakes.',
    'Starts/s: new nodes of the whole fleet that read from the store per second; 0: all at the same time.',
    'Reads are those of the table, objects and the VM list, including refused ones.',
    `Nodes stay ready through the outage of ${OUTAGE_MS / 60_000} minutes, so its end has no ready times.`,
    'The fresh node starts during the outage and gets its configuration from the three seed peers in its settings.',
  ];
}

async function measureSize(size: IRecoverySize): Promise<readonly (readonly Cell[])[]> {
  const fleet = new RecoveryFleet(size);
  await fleet.putInForce();
  const restart = await measureRestart(fleet);
  await fleet.clock.advanceBy(SETTLE_MS);
  const steady = await measureSteadyState(fleet);
  fleet.platform.isUnavailable = true;
  await fleet.clock.advanceBy(OUTAGE_MS);
  const newNode = await measureNewNode(fleet);
  const recovery = await measureRecovery(fleet);
  await fleet.stop();
  return [restart, steady, newNode, recovery];
}

async function measureRestart(fleet: RecoveryFleet): Promise<readonly Cell[]> {
  const startMs = fleet.clock.getMonotonicTime();
  const nodes = fleet.startNodes(fleet.size.nodes);
  await fleet.clock.advanceBy(OBSERVATION_MS);
  return formatRow('all nodes start at once', fleet, listReadyTimes(nodes, startMs));
}

async function measureSteadyState(fleet: RecoveryFleet): Promise<readonly Cell[]> {
  fleet.platform.reset();
  await fleet.clock.advanceBy(OBSERVATION_MS);
  return formatRow('calm', fleet, []);
}

/** The VM list is unavailable too, so the node knows only the seed peers in its settings. */
async function measureNewNode(fleet: RecoveryFleet): Promise<readonly Cell[]> {
  fleet.platform.reset();
  const startMs = fleet.clock.getMonotonicTime();
  const nodes = fleet.startNodes(1);
  await fleet.clock.advanceBy(OBSERVATION_MS);
  return formatRow('a fresh node in an outage', fleet, listReadyTimes(nodes, startMs));
}

async function measureRecovery(fleet: RecoveryFleet): Promise<readonly Cell[]> {
  fleet.platform.reset();
  fleet.platform.isUnavailable = false;
  await fleet.clock.advanceBy(OBSERVATION_MS);
  return formatRow('platform back', fleet, []);
}

function listReadyTimes(nodes: readonly RecoveryNode[], startMs: number): readonly number[] {
  return nodes.map(({ readyMs }) => readyMs - startMs).sort((left, right) => left - right);
}

function formatRow(event: string, fleet: RecoveryFleet, times: readonly number[]): readonly Cell[] {
  const { nodes, members, startsPerSecond } = fleet.size;
  const { peakReadsPerSecond, reads, refused } = fleet.platform.getLoad();
  const formatTime = (timeMs: number | undefined) => {
    return timeMs === undefined ? '' : formatNumber(timeMs / 1000);
  };
  const half = formatTime(times[(times.length - 1) >> 1]);
  return [
    event,
    nodes,
    members,
    startsPerSecond,
    peakReadsPerSecond,
    reads,
    refused,
    half,
    formatTime(times.at(-1)),
  ];
}

/** Run by `npm run bench -- recovery`. */
export const bench: Bench = new RecoveryBench();
