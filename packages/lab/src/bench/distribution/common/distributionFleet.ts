/**
 * Configuration distributors of many nodes in one process, on a manual clock, with an in-memory
 * store and direct calls as the network. The distributors are the production code.
 */
import type { RandomSource } from '@parsleymux/base';
import { InvariantRegistry, ManualClock, SeededRandom } from '@parsleymux/base';
import type { IConfigSnapshot } from '@parsleymux/config';
import { ConfigDistributor, ConfigPeer, ConfigPeerSource } from '@parsleymux/config';
import { IntentValidator, PlanBuilder, PlanStore } from '@parsleymux/config';
import { NeighbourSet } from '@parsleymux/fleet';
import type { IMemoryPlatform } from '@parsleymux/config/testing';
import { createMemoryPlatform, createTestIntent } from '@parsleymux/config/testing';

/** Mean one-way delay between two nodes, in ms. */
const DELAY_MS = 2;

/** Size, timing and faults of a fleet. */
export interface IDistributionOptions {
  readonly nodes: number;
  readonly fanOut: number;
  /** Mean interval between a node's reads of the head revision, in ms. */
  readonly pollMs: number;
  readonly seed: number;
  /** Fraction of calls between nodes that are lost. */
  readonly lostCalls: number;
  /** Number of peers that a node picks from; 0 means the whole fleet. */
  readonly neighbours: number;
  /** Number of nodes that cannot reach the store, counted from the end of the list. */
  readonly withoutStore: number;
}

/** Calls between nodes since the last reset. */
export interface IMessageCounts {
  readonly announcements: number;
  readonly fetches: number;
}

/**
 * A simulated fleet.
 *
 * @example
 * const fleet = new DistributionFleet(options);
 * await fleet.start();
 * await fleet.confirmChange();
 */
export class DistributionFleet {
  readonly clock = new ManualClock();
  readonly platform: IMemoryPlatform;
  readonly distributors: readonly ConfigDistributor[];
  /** Times at which nodes received the awaited revision, in ms. */
  readonly arrivals: number[] = [];
  private readonly random: RandomSource;
  private readonly plans: PlanStore;
  private readonly abort = new AbortController();
  private readonly running: Promise<void>[] = [];
  private awaitedRevision = Infinity;
  private announcements = 0;
  private fetches = 0;

  constructor(readonly options: IDistributionOptions) {
    this.random = new SeededRandom(options.seed);
    this.platform = createMemoryPlatform(this.random);
    const { clock, random, platform } = this;
    const validator = new IntentValidator();
    const builder = new PlanBuilder();
    const onDidConfirm = (fleetRevision: number) => {
      this.distributors[0]?.receiveAnnouncement(fleetRevision);
    };
    this.plans = new PlanStore({ platform, clock, random, validator, builder, onDidConfirm });
    this.distributors = Array.from({ length: options.nodes }, (_, index) => this.makeNode(index));
  }

  /** Puts a first configuration in force and waits until it has been distributed. */
  async start(): Promise<void> {
    await this.putInForce('first');
    for (const distributor of this.distributors) {
      this.running.push(distributor.run(this.abort.signal));
    }
    await this.clock.advanceBy(3 * this.options.pollMs);
  }

  /** Returns the calls since the last change was confirmed. */
  getMessages(): IMessageCounts {
    return { announcements: this.announcements, fetches: this.fetches };
  }

  recordAnnouncement(): void {
    this.announcements += 1;
  }

  recordFetch(): void {
    this.fetches += 1;
  }

  /** Confirms one change and resets the arrivals and counters. */
  async confirmChange(): Promise<void> {
    this.arrivals.length = 0;
    this.announcements = 0;
    this.fetches = 0;
    this.platform.table.readCount = 0;
    this.awaitedRevision = this.getHighestRevision() + 1;
    await this.putInForce(`revision ${this.awaitedRevision}`);
  }

  async stop(): Promise<void> {
    this.abort.abort();
    await this.clock.advanceBy(1);
    await Promise.all(this.running);
  }

  /** One call between two nodes: delayed in each direction, or lost and never completed. */
  async request<T>(respond: () => T): Promise<T> {
    await this.clock.sleep(this.random.getJittered(DELAY_MS, 0.5));
    if (this.random.getFloat() < this.options.lostCalls) await new Promise(() => undefined);
    const result = respond();
    await this.clock.sleep(this.random.getJittered(DELAY_MS, 0.5));
    return result;
  }

  private getHighestRevision(): number {
    return Math.max(...this.distributors.map((each) => each.getCurrent().fleetRevision));
  }

  private makeNode(index: number): ConfigDistributor {
    const { options, clock } = this;
    const hasStore = index < options.nodes - options.withoutStore;
    const distributor = new ConfigDistributor({
      platform: hasStore ? this.platform : makeUnreachablePlatform(),
      peers: new RandomPeers(this, index),
      clock,
      random: new SeededRandom(options.seed * 10_000 + index),
      invariants: new InvariantRegistry(),
      pollMs: options.pollMs,
      fanOut: options.fanOut,
    });
    distributor.onDidChange(({ config }) => {
      if (config.fleetRevision >= this.awaitedRevision)
        this.arrivals.push(clock.getMonotonicTime());
    });
    return distributor;
  }

  private async putInForce(note: string): Promise<void> {
    const member = 'dobrescu';
    const plan = await this.plans.propose(createTestIntent(member, { note }), 'operator');
    await this.plans.confirm({ member, planId: plan.id, operator: 'operator' });
  }
}

/** Calls another node directly. */
class DirectPeer extends ConfigPeer {
  constructor(
    private readonly fleet: DistributionFleet,
    private readonly from: number,
    private readonly to: number,
  ) {
    super();
  }

  override announce(fleetRevision: number): Promise<number> {
    this.fleet.recordAnnouncement();
    const announcer = new DirectPeer(this.fleet, this.to, this.from);
    return this.fleet.request(() => this.getTarget().receiveAnnouncement(fleetRevision, announcer));
  }

  override fetchAfter(fleetRevision: number): Promise<IConfigSnapshot> {
    this.fleet.recordFetch();
    return this.fleet.request(() => this.getTarget().getAfter(fleetRevision));
  }

  private getTarget(): ConfigDistributor {
    const target = this.fleet.distributors[this.to];
    if (target === undefined) throw new Error(`no node ${this.to}`);
    return target;
  }
}

class RandomPeers extends ConfigPeerSource {
  private readonly random: RandomSource;
  private neighbours: readonly number[] | undefined;

  constructor(
    private readonly fleet: DistributionFleet,
    private readonly self: number,
  ) {
    super();
    this.random = new SeededRandom(fleet.options.seed * 20_000 + self);
  }

  override pick(count: number): readonly ConfigPeer[] {
    this.neighbours ??= this.listNeighbours();
    const picked = new Set<number>();
    const wantedCount = Math.min(count, this.neighbours.length);
    while (picked.size < wantedCount) {
      picked.add(this.neighbours[this.random.getInteger(this.neighbours.length)] ?? 0);
    }
    return [...picked].map((index) => new DirectPeer(this.fleet, this.self, index));
  }

  private listNeighbours(): readonly number[] {
    const { nodes, neighbours } = this.fleet.options;
    const indexes = Array.from({ length: nodes }, (_, index) => index);
    if (neighbours === 0) return indexes.filter((index) => index !== this.self);
    const set = new NeighbourSet(formatAddress(this.self), neighbours);
    set.setNodes(indexes.map((index) => ({ address: formatAddress(index), failureDomain: '' })));
    return set.getAddresses().map(parseAddress);
  }
}

function formatAddress(index: number): string {
  return `10.0.${index >> 8}.${index & 255}:7002`;
}

function parseAddress(address: string): number {
  const [, , high, low] = address.replace(':7002', '').split('.').map(Number);
  return (high ?? 0) * 256 + (low ?? 0);
}

function makeUnreachablePlatform(): IMemoryPlatform {
  const platform = createMemoryPlatform(new SeededRandom(0));
  platform.table.faults.isUnavailable = true;
  return platform;
}
