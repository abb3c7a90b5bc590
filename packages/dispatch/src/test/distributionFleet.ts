/** Simulates nodes with slow links that replicate a configuration of many routes. */
import type { ManualClock } from '@parsleymux/base';
import { SeededRandom } from '@parsleymux/base';
import type { ICatalog } from '@parsleymux/scheduling';
import type { IMember } from '../directory/common/authority.js';
import { makeCatalog, makeRoutes } from './builders.js';
import { DistributionNode } from './distributionNode.js';
import type { ModelledLink } from './modelledLink.js';
import { sendBytes } from './modelledLink.js';

const LATENCY_MS = 1;
const WARM_UP_MS = 4000;
const CHECK_MS = 10;
const DOMAINS = 3;
const DOMAIN_SIZES = [1, 1, 1];
/** Numbers of routes that changes of a series add. */
const SERIES_COUNTS = [1, 1, 30, 400, 1400, 3000];
/** Pause between the changes of a series, in ms: the minimum, and what is added at most. */
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 2500;
/** A follower loses power up to this long after a change, in ms. */
const MAX_LOSS_DELAY_MS = 400;

/** Kinds of VMs in a {@link DistributionFleet}. */
export interface IVmKind {
  readonly count: number;
  readonly linkMbps: number;
  /** Relative to other VMs. */
  readonly capacity: number;
}

/** Options of a {@link DistributionFleet}. */
export interface IDistributionFleetOptions {
  readonly clock: ManualClock;
  readonly seed: number;
  readonly vms: readonly IVmKind[];
  /** Number of routes of the first configuration. */
  readonly routes: number;
  /** Share of all links that requests take. Default: 0. */
  readonly busyShare?: number;
  /** Time in which changes have to be in force, in ms. Default: without limit. */
  readonly applyMs?: number;
  /** Sizes of the failure domains, relative to each other. Default: three equal ones. */
  readonly domainSizes?: readonly number[];
}

/** How a change of the configuration reached the nodes. */
export interface IDistributionResults {
  /** Time until the last node had the change in force, in ms; infinite if one never had. */
  readonly lastMs: number;
  /** Bytes sent between nodes, per node. */
  readonly bytesPerNode: number;
}

/**
 * Runs the nodes, changes the configuration, and measures how long the change takes to be in force.
 *
 * @example
 * const fleet = new DistributionFleet({ clock, seed: 1, vms, routes: 100 });
 * await fleet.start();
 * const { lastMs } = await fleet.addRoutes(1400, 2500);
 */
export class DistributionFleet {
  readonly clock: ManualClock;
  readonly random: SeededRandom;
  readonly members: { readonly key: string; readonly value: IMember }[] = [];
  /** By address, which is also the state address. */
  readonly nodes = new Map<string, DistributionNode>();
  catalog: ICatalog;
  /** Addresses of nodes whose registrations were removed. */
  readonly removedMembers = new Set<string>();
  membersVersion = 1;
  /** How much longer than usual the store takes for each response, in ms. */
  storeDelayMs = 0;
  /** Responses of the slow store, and how many of them nobody awaited any more. */
  readonly slowResponses = { sent: 0, discarded: 0 };
  private readonly end = new AbortController();
  private running: readonly Promise<void>[] = [];

  constructor(readonly options: IDistributionFleetOptions) {
    this.clock = options.clock;
    this.random = new SeededRandom(options.seed);
    this.catalog = makeCatalog(1, makeRoutes(options.routes, this.random));
    const links = options.vms.flatMap((kind) => Array.from({ length: kind.count }, () => kind));
    const { domainSizes = DOMAIN_SIZES } = options;
    const domains = domainSizes.flatMap((size, domain) =>
      Array.from({ length: size }, () => domain),
    );
    for (const [index, { capacity, linkMbps }] of links.entries()) {
      const value = this.makeMember(index, domains[index % domains.length] ?? 0, capacity);
      this.members.push({ key: value.address, value });
      this.nodes.set(value.address, new DistributionNode(this, value, linkMbps));
    }
  }

  /** Starts all nodes; resolves once they have had time to read the first configuration. */
  async start(): Promise<void> {
    this.running = [...this.nodes.values()].map((node) => node.run(this.end.signal));
    await this.clock.advanceBy(WARM_UP_MS);
  }

  async stop(): Promise<void> {
    this.end.abort();
    await Promise.allSettled(this.running);
  }

  /** Adds routes, and waits until all nodes have them, at most `limitMs`. */
  async addRoutes(count: number, limitMs: number): Promise<IDistributionResults> {
    this.putRoutes(count);
    return this.waitUntilApplied(limitMs);
  }

  /** Removes a registration, or puts it back. */
  setRemoved(address: string, isRemoved: boolean): void {
    if (this.removedMembers.has(address) === isRemoved) return;
    if (isRemoved) this.removedMembers.add(address);
    else this.removedMembers.delete(address);
    this.membersVersion += 1;
  }

  /** Adds routes in a new version. */
  putRoutes(count: number): void {
    const { routes, version } = this.catalog;
    this.catalog = makeCatalog(version + 1, [...routes, ...makeRoutes(count, this.random)]);
  }

  /**
   * Makes changes of 1 to 3,000 routes in series, while followers lose power in the middle of some of them.
   * Returns the longest time until a change, or a later one, was in force on all nodes.
   */
  async runSeries(changes: number, limitMs: number): Promise<number> {
    const issuedMs = new Map<number, number>();
    let worstMs = 0;
    const advance = async (durationMs: number) => {
      const endMs = this.clock.getMonotonicTime() + durationMs;
      while (this.clock.getMonotonicTime() < endMs) {
        await this.clock.advanceBy(CHECK_MS);
        const oldest = this.findOldestVersion();
        for (const [version, atMs] of issuedMs) {
          worstMs = Math.max(worstMs, this.clock.getMonotonicTime() - atMs);
          if (oldest >= version) issuedMs.delete(version);
        }
      }
    };
    const followersLost = new Set<number>();
    for (let change = 0; change < changes; change += 1) {
      const count = SERIES_COUNTS[this.random.getInteger(SERIES_COUNTS.length)] ?? 1;
      this.putRoutes(count);
      issuedMs.set(this.catalog.version, this.clock.getMonotonicTime());
      const domain = this.random.getInteger(DOMAINS * 2);
      if (domain < DOMAINS && !followersLost.has(domain)) {
        followersLost.add(domain);
        this.clock.startTimer(this.random.getInteger(MAX_LOSS_DELAY_MS), () => {
          this.findFollower(domain)?.stop();
        });
      }
      await advance(MIN_PAUSE_MS + this.random.getInteger(MAX_PAUSE_MS));
    }
    await advance(limitMs);
    return worstMs;
  }

  /** The node that currently reads the store for a failure domain. */
  findFollower(domain: number): DistributionNode | undefined {
    const [first] = [...this.nodes.values()].filter((node) => !node.isDown);
    const ranking = first?.directory.rankFollowers(formatDomain(domain)) ?? [];
    return ranking.flatMap((address) => this.nodes.get(address) ?? []).find((node) => !node.isDown);
  }

  /** Cuts power to the nodes of a failure domain that have the newest configuration, except the follower. */
  stopReceivers(domain: number): void {
    const follower = this.findFollower(domain);
    for (const node of this.nodes.values()) {
      const isReceiver = node.directory.getCatalog()?.version === this.catalog.version;
      const isInDomain = node.member.failureDomain === formatDomain(domain);
      if (isReceiver && isInDomain && node !== follower) node.stop();
    }
  }

  async sendBytes(
    bytes: number,
    egress: ModelledLink,
    ingress: ModelledLink,
    signal?: AbortSignal,
    onDidProgress?: () => void,
  ): Promise<void> {
    await this.clock.sleep(LATENCY_MS, signal);
    await sendBytes({ clock: this.clock, bytes, egress, ingress, signal, onDidProgress });
  }

  private async waitUntilApplied(limitMs: number): Promise<IDistributionResults> {
    const startMs = this.clock.getMonotonicTime();
    const bytesBefore = this.countBytes();
    let lastMs = Infinity;
    while (lastMs === Infinity && this.clock.getMonotonicTime() - startMs < limitMs) {
      await this.clock.advanceBy(CHECK_MS);
      if (this.countOutdated() === 0) lastMs = this.clock.getMonotonicTime() - startMs;
    }
    const bytes = this.countBytes() - bytesBefore;
    return { lastMs, bytesPerNode: Math.round(bytes / this.nodes.size) };
  }

  private makeMember(index: number, domain: number, capacity: number): IMember {
    const failureDomain = formatDomain(domain);
    const others = this.members.filter(({ value }) => value.failureDomain === failureDomain);
    const address = `10.0.${domain}.${others.length}:7200`;
    return { address, capacity, failureDomain, stateAddress: address, incarnation: index + 1 };
  }

  private countOutdated(): number {
    const isOutdated = ({ directory, isDown }: DistributionNode) => {
      return !isDown && directory.getCatalog()?.version !== this.catalog.version;
    };
    return [...this.nodes.values()].filter(isOutdated).length;
  }

  private findOldestVersion(): number {
    const running = [...this.nodes.values()].filter(({ isDown }) => !isDown);
    return Math.min(...running.map(({ directory }) => directory.getCatalog()?.version ?? 0));
  }

  private countBytes(): number {
    return [...this.nodes.values()].reduce((sum, { links }) => sum + links.egress.bytes, 0);
  }
}

export function formatDomain(domain: number): string {
  return `domain-${domain}`;
}
