/** Control components of many nodes in one process, on a manual clock and a metered platform. */
import type { RandomSource } from '@parsleymux/base';
import { InvariantRegistry, ManualClock, SeededRandom } from '@parsleymux/base';
import type { IConfigSnapshot } from '@parsleymux/config';
import {
  ConfigDistributor,
  ConfigPeer,
  ConfigPeerSource,
  IntentValidator,
  PlanBuilder,
  PlanStore,
} from '@parsleymux/config';
import { createMemoryPlatform, createTestIntent } from '@parsleymux/config/testing';
import { computeSharedInterval, ListedMembershipService } from '@parsleymux/fleet';
import { VmState } from '@parsleymux/store';
import { MeteredPlatform } from './meteredPlatform.js';

const OPERATION_MS = 5;
const CALL_MS = 4;
const BASE_POLL_MS = 2000;
const HEAD_READS_PER_SECOND = 300;
const MAX_START_SPREAD_MS = 20_000;
const STOP_MS = 10_000;
const SEED_COUNT = 3;
const FIRST_PORT = 10_000;

/** Size of one case. */
export interface IRecoverySize {
  readonly nodes: number;
  readonly members: number;
  /** Reads that the platform serves per second. */
  readonly readsPerSecond: number;
  /** New nodes of the fleet that read from the store per second; 0 means all at the same time. */
  readonly startsPerSecond: number;
  readonly seed: number;
}

/** Control components of one node. */
export class RecoveryNode {
  readonly membership: ListedMembershipService;
  readonly config: ConfigDistributor;
  /** Time at which the node became ready, in ms. */
  readyMs = Infinity;
  private readonly abort = new AbortController();
  private running: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly fleet: RecoveryFleet,
    readonly address: string,
    random: RandomSource,
    seeds: readonly string[],
  ) {
    const { clock, platform } = fleet;
    const self = { address, failureDomain: 'north' };
    const { vms } = platform;
    this.membership = new ListedMembershipService({ self, vms, clock, random, seeds });
    this.config = new ConfigDistributor({
      platform,
      peers: new LivePeers(fleet, this, random),
      clock,
      random,
      invariants: new InvariantRegistry(),
      pollMs: () => this.getHeadInterval(),
      startSpreadMs: () => this.getStartSpread(),
    });
  }

  start(): void {
    const { signal } = this.abort;
    this.running = Promise.allSettled([this.membership.run(signal), this.config.run(signal)]);
    this.config.waitForReady(signal).then(
      () => {
        this.readyMs = this.fleet.clock.getMonotonicTime();
      },
      () => undefined,
    );
  }

  /** Stops the loops. Calls in flight complete as the clock advances. */
  async stop(): Promise<void> {
    this.abort.abort(new Error('the node is stopped'));
    await this.running;
    this.membership.dispose();
  }

  private getStartSpread(): number {
    const nodes = this.membership.getLiveNodes().length;
    const fleetPerSecond = this.fleet.size.startsPerSecond;
    if (fleetPerSecond === 0) return 0;
    return Math.min(
      MAX_START_SPREAD_MS,
      computeSharedInterval({ baseMs: 0, nodes, fleetPerSecond }),
    );
  }

  private getHeadInterval(): number {
    return computeSharedInterval({
      baseMs: BASE_POLL_MS,
      nodes: this.membership.getLiveNodes().length,
      fleetPerSecond: HEAD_READS_PER_SECOND,
    });
  }
}

/**
 * The simulated fleet of one case.
 *
 * @example
 * const fleet = new RecoveryFleet(size);
 */
export class RecoveryFleet {
  readonly clock = new ManualClock();
  readonly platform: MeteredPlatform;
  readonly random: RandomSource;
  readonly nodes = new Map<string, RecoveryNode>();
  private readonly plans: PlanStore;
  private started = 0;

  constructor(readonly size: IRecoverySize) {
    const { clock } = this;
    this.random = new SeededRandom(size.seed);
    const inner = createMemoryPlatform(this.random);
    const { readsPerSecond } = size;
    this.platform = new MeteredPlatform({ inner, clock, delayMs: OPERATION_MS, readsPerSecond });
    this.plans = new PlanStore({
      platform: inner,
      clock,
      random: this.random,
      validator: new IntentValidator(),
      builder: new PlanBuilder(),
    });
  }

  /** Puts a small configuration of each member in force. */
  async putInForce(): Promise<void> {
    for (let index = 0; index < this.size.members; index += 1) {
      const member = `member-${index}`;
      const targets = [`10.1.${index >> 8}.${index & 255}:9001`];
      const plan = await this.plans.propose(createTestIntent(member, { targets }), 'operator');
      await this.plans.confirm({ member, planId: plan.id, operator: 'operator' });
    }
  }

  /** Starts `count` nodes at the same time, with some existing nodes as their seed peers. */
  startNodes(count: number): readonly RecoveryNode[] {
    const seeds = [...this.nodes.keys()].slice(0, SEED_COUNT);
    const nodes = Array.from({ length: count }, () => this.makeNode(seeds));
    this.platform.listedVms = [...this.nodes.keys()].map((address) => {
      return { address, failureDomain: 'north', state: VmState.Live };
    });
    for (const node of nodes) node.start();
    return nodes;
  }

  async stop(): Promise<void> {
    const stopped = [...this.nodes.values()].map((node) => node.stop());
    await this.clock.advanceBy(STOP_MS);
    await Promise.all(stopped);
  }

  private makeNode(seeds: readonly string[]): RecoveryNode {
    this.started += 1;
    const address = `10.0.${this.started >> 8}.${this.started & 255}:${FIRST_PORT}`;
    const random = new SeededRandom(this.size.seed * 100_000 + this.started);
    const node = new RecoveryNode(this, address, random, seeds);
    this.nodes.set(address, node);
    return node;
  }
}

class LivePeers extends ConfigPeerSource {
  constructor(
    private readonly fleet: RecoveryFleet,
    private readonly self: RecoveryNode,
    private readonly random: RandomSource,
  ) {
    super();
  }

  override pick(count: number): readonly ConfigPeer[] {
    const live = this.self.membership.getLiveNodes();
    const wantedCount = Math.min(count, live.length - 1);
    const picked = new Set<string>();
    while (picked.size < wantedCount) {
      const address = live[this.random.getInteger(live.length)]?.address ?? '';
      if (address !== this.self.address) picked.add(address);
    }
    return [...picked].map((address) => new DirectPeer(this.fleet, this.self.address, address));
  }
}

class DirectPeer extends ConfigPeer {
  constructor(
    private readonly fleet: RecoveryFleet,
    private readonly from: string,
    private readonly to: string,
  ) {
    super();
  }

  override async announce(fleetRevision: number): Promise<number> {
    await this.fleet.clock.sleep(CALL_MS);
    const announcer = new DirectPeer(this.fleet, this.to, this.from);
    return this.getTarget().receiveAnnouncement(fleetRevision, announcer);
  }

  override async fetchAfter(fleetRevision: number): Promise<IConfigSnapshot> {
    await this.fleet.clock.sleep(CALL_MS);
    return this.getTarget().getAfter(fleetRevision);
  }

  private getTarget(): ConfigDistributor {
    const target = this.fleet.nodes.get(this.to);
    if (target === undefined) throw new Error(`no node ${this.to}`);
    return target.config;
  }
}
