/**
 * Time until a confirmed plan is in force on real nodes: `npm run bench -- in-force`. One node has a
 * one-way partition from the platform, in some rounds also from its peers. The plan is confirmed
 * with `parsleyctl` at another node; afterwards the partition is healed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { DisposableStore } from '@parsleymux/base';
import type { ILinkFaults } from '@parsleymux/standins';
import { FaultyLink, NO_LINK_FAULTS } from '@parsleymux/standins';
import { disposeOnInterrupt } from '../../../processes/node/interrupt.js';
import { LabWorld } from '../../../processes/node/labWorld.js';
import type { IBenchOptions, IBenchReport } from '../../common/bench.js';
import { Bench, parseNumbers } from '../../common/bench.js';
import type { Cell } from '../../common/bench.js';
import { RevisionWatch } from './revisionWatch.js';

const MEMBER = 'relinieri';
/** Default settings, in place of the shorter ones of the lab. */
const SHIPPED_TIMING = { configPollMs: 2000, vmListPollMs: 2000, isolationLimitMs: 30_000 };
/** Long enough for calls in flight at the start of the partition to end. */
const PARTITION_SETTLE_MS = 4000;
const OBSERVATION_MS = 6000;
const IN_FORCE_TIMEOUT_MS = 60_000;

interface IRound {
  readonly name: string;
  readonly link: Partial<ILinkFaults>;
  /**
   * A signal to the node toggles the partition. The rounds that use it are in the order of the
   * states in partitionPeers.ts.
   */
  readonly isPartitionedFromPeers: boolean;
}

const ROUNDS: readonly IRound[] = [
  { name: 'none', link: {}, isPartitionedFromPeers: false },
  { name: 'calls to platform lost', link: { cutForward: true }, isPartitionedFromPeers: false },
  { name: 'answers of platform lost', link: { cutBackward: true }, isPartitionedFromPeers: false },
  {
    name: 'calls to platform and peers lost',
    link: { cutForward: true },
    isPartitionedFromPeers: true,
  },
  {
    name: 'hears neither platform nor peers',
    link: { cutBackward: true },
    isPartitionedFromPeers: true,
  },
];

class InForceBench extends Bench {
  override readonly summary =
    'time until a plan is in force on real nodes, one of them partitioned';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const [nodeCount = 8] = parseNumbers(options, 'nodes', [8]);
    const [repeats = 3] = parseNumbers(options, 'repeats', [3]);
    const store = new DisposableStore();
    disposeOnInterrupt(store);
    try {
      const world = store.add(await InForceWorld.start(nodeCount, options.seed));
      const rows: Cell[][] = [];
      for (let repeat = 0; repeat < repeats; repeat += 1) {
        for (const round of ROUNDS) {
          options.log(round.name);
          rows.push([round.name, ...(await world.runRound(round))]);
        }
      }
      return buildReport(nodeCount, rows);
    } finally {
      await store.dispose();
    }
  }
}

/** A fleet whose last node can be partitioned. */
class InForceWorld {
  private constructor(
    private readonly lab: LabWorld,
    private readonly links: readonly FaultyLink[],
  ) {}

  static async start(nodeCount: number, seed: number): Promise<InForceWorld> {
    const links: FaultyLink[] = [];
    const lab = new LabWorld({
      seed,
      nodeCount,
      nodeTiming: SHIPPED_TIMING,
      nodeOptions: ['--import', fileURLToPath(new URL('partitionPeers.js', import.meta.url))],
      choosePlatformAddress: async (directAddress) => {
        const link = new FaultyLink({ to: directAddress });
        await link.start();
        links.push(link);
        return link.getAddress();
      },
    });
    const world = new InForceWorld(lab, links);
    try {
      await lab.start();
      await lab.applyIntents();
    } catch (error) {
      await world.dispose();
      throw error;
    }
    return world;
  }

  /** Returns ms from the start of the confirm command; "no" if not reached during the partition. */
  async runRound(round: IRound): Promise<readonly Cell[]> {
    const nodes = this.lab.getNodes();
    const partitionedNode = nodes.at(-1);
    const link = this.links.find((one) => {
      return partitionedNode?.options.platformUrl === `http://${one.getAddress()}`;
    });
    if (partitionedNode === undefined || link === undefined) throw new Error('no node is running');
    const others = nodes.slice(0, -1);
    const operator = this.lab.getOperator(MEMBER);
    const file = await this.lab.writeIntent(MEMBER, this.lab.getTargets());
    await link.setFaults(round.link);
    if (round.isPartitionedFromPeers) partitionedNode.child.sendSignal('SIGUSR2');
    await sleep(PARTITION_SETTLE_MS);
    const watch = await RevisionWatch.start(nodes);
    const submitted = await operator.run(['intent', 'submit', file]);
    const { id } = submitted.output as { readonly id: string };
    const startMs = performance.now();
    const confirmed = await operator.run(['plan', 'confirm', id]);
    const commandMs = performance.now() - startMs;
    if (confirmed.exitCode !== 0) throw new Error(confirmed.errors);
    const lastMs = await watch.waitUntilAll(others, IN_FORCE_TIMEOUT_MS);
    await sleep(OBSERVATION_MS);
    const partitionedNodeMs = watch.getReachedMs(partitionedNode);
    const healedMs = performance.now();
    await link.setFaults(NO_LINK_FAULTS);
    if (round.isPartitionedFromPeers) partitionedNode.child.sendSignal('SIGUSR2');
    const reachedMs = await watch.waitUntilAll([partitionedNode], IN_FORCE_TIMEOUT_MS);
    await watch.stop();
    return [
      Math.round(commandMs),
      Math.round(lastMs - startMs),
      partitionedNodeMs === undefined ? 'no' : Math.round(partitionedNodeMs - startMs),
      partitionedNodeMs === undefined ? Math.round(reachedMs - healedMs) : '',
    ];
  }

  async dispose(): Promise<void> {
    await this.lab.dispose();
    for (const link of this.links) link.dispose();
  }
}

function buildReport(nodeCount: number, rows: readonly (readonly Cell[])[]): IBenchReport {
  return {
    tables: [
      {
        title: `A plan confirmed with parsleyctl, ${nodeCount} nodes, the last one partitioned`,
        columns: [
          'cut',
          'command ms',
          'in force on the others ms',
          'on the cut node during the cut ms',
          'on the cut node after healing ms',
        ],
        rows,
      },
    ],
    notes: [
      'times are from the start of the confirm command, and include the startup of that process',
      'revisions are read every 40 ms; settings as shipped (poll 2 s, isolation 30 s)',
      'all processes run on one machine, so network latency is that of loopback',
    ],
  };
}

export const bench: Bench = new InForceBench();
