/** Changes the configuration of a simulated fleet while nodes lose the store, and measures late nodes. */
import type { DistributionNode, StoreAccess } from './distributionNode.js';
import type { DistributionFleet } from './distributionFleet.js';
import { formatDomain } from './distributionFleet.js';

const CHECK_MS = 10;
/** Each node exchanges messages for a request with another node at this interval, in ms. */
const REQUEST_INTERVAL_MS = 300;
const DOMAINS = 3;
const CHANGES = 12;
/** Shortest pause between two changes, in ms, and what is added at most. */
const MIN_PAUSE_MS = 200;
const ADDED_PAUSE_MS = 1400;
/** Shortest outage, in ms, and what is added at most. */
const MIN_OUTAGE_MS = 1500;
const ADDED_OUTAGE_MS = 5000;
/** An outage begins before a change with this probability. */
const OUTAGE_SHARE = 0.5;
const END_MS = 5000;
/** A node that reached the store for this long before a change, in ms, has to have it in force in time. */
const STABLE_MS = 3000;

/** A node that handled requests by an old version for too long. */
export interface ILateNode {
  readonly node: string;
  readonly version: number;
  readonly lateMs: number;
}

/**
 * Runs a series of changes and outages, chosen by the fleet's seed. The bound applies from the change on for nodes
 * that reach the store, and for the others from the moment at which any node has the change in force.
 *
 * @example
 * assert.deepEqual(await new OutageSeries(fleet, 2000).run(), []);
 */
export class OutageSeries {
  private readonly issuedMs = new Map<number, number>();
  private readonly late = new Map<string, ILateNode>();
  private requestsMs = 0;
  /** When a node first had each version in force. */
  private readonly knownMs = new Map<number, number>();
  /** When each node could not reach the store last, by address. */
  private readonly cutMs = new Map<string, number>();

  constructor(
    private readonly fleet: DistributionFleet,
    private readonly boundMs: number,
  ) {}

  /** Returns the late nodes, each with its latest version. */
  async run(): Promise<readonly ILateNode[]> {
    const { fleet } = this;
    for (let change = 0; change < CHANGES; change += 1) {
      if (fleet.random.getFloat() < OUTAGE_SHARE) this.startOutage();
      await this.advance(fleet.random.getInteger(MIN_PAUSE_MS));
      fleet.putRoutes(1);
      this.issuedMs.set(fleet.catalog.version, fleet.clock.getMonotonicTime());
      await this.advance(MIN_PAUSE_MS + fleet.random.getInteger(ADDED_PAUSE_MS));
    }
    await this.advance(END_MS);
    return [...this.late.values()];
  }

  private startOutage(): void {
    const { random } = this.fleet;
    const nodes = this.listRunning();
    switch (random.getInteger(5)) {
      case 0:
        this.setStoreAccess(this.listDomain(random.getInteger(DOMAINS)), 'silent');
        break;
      case 1:
        this.setStoreAccess(this.listDomain(random.getInteger(DOMAINS)), 'rejected');
        break;
      case 2:
        this.setStoreAccess(
          nodes.filter(() => random.getFloat() < 1 / 2),
          'silent',
        );
        break;
      case 3:
        for (const node of nodes) node.stopHeldReads();
        break;
      default:
        this.removeMember(nodes[random.getInteger(nodes.length)]);
    }
  }

  private setStoreAccess(nodes: readonly DistributionNode[], access: StoreAccess): void {
    const { clock, random } = this.fleet;
    for (const node of nodes) node.storeAccess = access;
    clock.startTimer(MIN_OUTAGE_MS + random.getInteger(ADDED_OUTAGE_MS), () => {
      for (const node of nodes) node.storeAccess = 'open';
    });
  }

  /** Removes a node that can't reach the store either, as its peers do when it is silent. */
  private removeMember(node: DistributionNode | undefined): void {
    if (node === undefined) return;
    this.fleet.setRemoved(node.member.address, true);
    this.setStoreAccess([node], 'silent');
  }

  private async advance(durationMs: number): Promise<void> {
    const { clock } = this.fleet;
    const endMs = clock.getMonotonicTime() + durationMs;
    while (clock.getMonotonicTime() < endMs) {
      await clock.advanceBy(CHECK_MS);
      if (clock.getMonotonicTime() - this.requestsMs >= REQUEST_INTERVAL_MS) this.sendRequests();
      const running = this.listRunning();
      for (const node of running) this.recordState(node);
      for (const node of running) this.check(node);
    }
  }

  private sendRequests(): void {
    const { clock, random } = this.fleet;
    this.requestsMs = clock.getMonotonicTime();
    const nodes = this.listRunning();
    for (const node of nodes) {
      const home = nodes[random.getInteger(nodes.length)];
      home?.receiveRequest(node);
      if (home !== undefined) node.receiveRequest(home);
    }
  }

  private recordState({ directory, member, storeAccess }: DistributionNode): void {
    const nowMs = this.fleet.clock.getMonotonicTime();
    const version = directory.getCatalog()?.version ?? 0;
    for (const issued of this.issuedMs.keys()) {
      if (issued <= version && !this.knownMs.has(issued)) this.knownMs.set(issued, nowMs);
    }
    if (storeAccess !== 'open') this.cutMs.set(member.address, nowMs);
  }

  private check({ directory, member }: DistributionNode): void {
    const nowMs = this.fleet.clock.getMonotonicTime();
    const inForce = directory.getCatalog()?.version ?? 0;
    for (const [version, issuedMs] of this.issuedMs) {
      const wasCut = (this.cutMs.get(member.address) ?? -Infinity) > issuedMs - STABLE_MS;
      const sinceMs = wasCut ? (this.knownMs.get(version) ?? Infinity) : issuedMs;
      const lateMs = nowMs - sinceMs - this.boundMs;
      if (inForce >= version || lateMs <= 0) continue;
      this.late.set(member.address, { node: member.address, version, lateMs });
    }
  }

  private listRunning(): readonly DistributionNode[] {
    return [...this.fleet.nodes.values()].filter(({ isDown }) => !isDown);
  }

  private listDomain(domain: number): readonly DistributionNode[] {
    return this.listRunning().filter(({ member }) => member.failureDomain === formatDomain(domain));
  }
}
