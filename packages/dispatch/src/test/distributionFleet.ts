/** Simulates nodes with slow links that replicate a configuration of many routes. */
import { create, toBinary } from '@bufbuild/protobuf';
import type { ManualClock } from '@parsleymux/base';
import { JoinedSignal, SeededRandom, createSilentLogger } from '@parsleymux/base';
import { DatagramSchema } from '@parsleymux/schema';
import type { ICatalog, ITargetRecord } from '../catalog/common/catalog.js';
import type { IMember, ITableChanges } from '../directory/common/authority.js';
import { Authority, AuthorityTable } from '../directory/common/authority.js';
import { NodeDirectory } from '../directory/common/nodeDirectory.js';
import { TableServer } from '../directory/common/tableServer.js';
import type {
  ITableRequest,
  ITransferOptions,
  TableReply,
} from '../directory/common/tableTransport.js';
import { TableTransport } from '../directory/common/tableTransport.js';
import { DirectoryService } from '../directory/node/directoryService.js';
import { encodeCompressed, decodeCompressed } from '../directory/node/tableCompression.js';
import type { DatagramBody } from '../grants/common/datagramChannel.js';
import { DatagramChannel } from '../grants/common/datagramChannel.js';
import { makeCatalog, makeRoutes } from './builders.js';
import type { IModelledLinks } from './modelledLink.js';
import { ModelledLink, sendBytes } from './modelledLink.js';

const STORE_LATENCY_MS = 4;
const LATENCY_MS = 1;
const LOST_SHARE = 0.002;
const POLL_MS = 5;
const WARM_UP_MS = 4000;
const CHECK_MS = 10;
/** Values of rows are base64 in the responses of the store. */
const STORE_ENCODING = 4 / 3;
const REQUEST_BYTES = 300;
const STORED_ROUTE_BYTES = 110;
const BYTES_PER_MS_PER_MBPS = 125;
const DOMAINS = 3;
const CONFIG_KEY = 'config';
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
}

/** How a change of the configuration reached the nodes. */
export interface IDistributionResults {
  /** Time until the last node had the change in force, in ms; infinite if one never had. */
  readonly lastMs: number;
  /** Bytes sent between nodes, per node. */
  readonly bytesPerNode: number;
}

/** A node's access to a table of the store. */
class ModelledTable<T> extends AuthorityTable<T> {
  override readonly malformedRows = 0;

  constructor(
    private readonly node: FleetNode,
    private readonly read: () => ITableChanges<T>,
  ) {
    super();
  }

  override async readAll(signal: AbortSignal): Promise<ITableChanges<T>> {
    await this.node.fleet.clock.sleep(STORE_LATENCY_MS, signal);
    return this.receive(this.read(), signal);
  }

  override async readChanges(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ITableChanges<T>> {
    const { clock } = this.node.fleet;
    const endMs = clock.getMonotonicTime() + waitMs;
    await clock.sleep(STORE_LATENCY_MS, signal);
    for (;;) {
      const rows = this.read();
      if (rows.version > after) return this.receive(rows, signal);
      if (clock.getMonotonicTime() >= endMs) return { version: rows.version, changes: [] };
      await clock.sleep(POLL_MS, signal);
    }
  }

  /** The store's row of the configuration has the names of columns once and not in each route. */
  private countBytes({ changes }: ITableChanges<T>): number {
    const { catalog } = this.node.fleet;
    const isCatalog = changes.some(({ key }) => key === CONFIG_KEY);
    return isCatalog ? catalog.routes.length * STORED_ROUTE_BYTES : JSON.stringify(changes).length;
  }

  private async receive(rows: ITableChanges<T>, signal: AbortSignal): Promise<ITableChanges<T>> {
    const { clock } = this.node.fleet;
    const bytes = this.countBytes(rows) * STORE_ENCODING;
    await clock.sleep(this.node.links.ingress.reserve(bytes), signal);
    return rows;
  }
}

class ModelledAuthority extends Authority {
  override readonly catalog: AuthorityTable<ICatalog>;
  override readonly targets: AuthorityTable<ITargetRecord>;
  override readonly members: AuthorityTable<IMember>;

  constructor(node: FleetNode) {
    super();
    const { fleet } = node;
    this.catalog = new ModelledTable(node, () => ({
      version: fleet.catalog.version,
      changes: [{ key: CONFIG_KEY, value: fleet.catalog }],
    }));
    this.targets = new ModelledTable<ITargetRecord>(node, () => ({ version: 1, changes: [] }));
    this.members = new ModelledTable(node, () => ({ version: 1, changes: fleet.members }));
  }

  override putMember(): Promise<void> {
    return Promise.resolve();
  }

  override removeMember(): Promise<void> {
    return Promise.resolve();
  }
}

class ModelledTransport extends TableTransport {
  constructor(private readonly node: FleetNode) {
    super();
  }

  override async requestTable(
    stateAddress: string,
    request: ITableRequest,
    { onDidProgress, signal }: ITransferOptions,
  ): Promise<TableReply> {
    const { fleet, links } = this.node;
    const peer = fleet.nodes.get(stateAddress);
    if (peer === undefined) throw new Error('no such node');
    const joined = new JoinedSignal([signal, peer.lost]);
    try {
      await fleet.sendBytes(REQUEST_BYTES, links.egress, peer.links.ingress, joined.signal);
      onDidProgress();
      const result = await peer.server.serve(request, encodeCompressed, joined.signal);
      if (result.kind === 'unavailable') throw new Error('no such table');
      const bytes = result.kind === 'table' ? result.bytes.length : REQUEST_BYTES;
      const { egress } = peer.links;
      await fleet.sendBytes(bytes, egress, links.ingress, joined.signal, onDidProgress);
      if (result.kind === 'redirect') return result;
      return { kind: 'table', bytes: decodeCompressed(result.bytes) };
    } catch (error) {
      // Connections to a VM without power hang.
      if (peer.isDown && !signal.aborted) await waitForAbort(signal);
      throw error;
    } finally {
      joined.dispose();
    }
  }
}

class ModelledChannel extends DatagramChannel {
  override readonly address: string;

  constructor(private readonly node: FleetNode) {
    super();
    this.address = node.member.address;
  }

  override send(address: string, body: DatagramBody): void {
    const { fleet, links } = this.node;
    const receiver = fleet.nodes.get(address);
    if (receiver === undefined || this.node.isDown) return;
    if (fleet.random.getFloat() < LOST_SHARE) return;
    const bytes = toBinary(DatagramSchema, create(DatagramSchema, { body })).length;
    void fleet.sendBytes(bytes, links.egress, receiver.links.ingress).then(() => {
      receiver.receive(this.address, body);
    });
  }

  override setHandler(): void {
    // Datagrams are passed to nodes by their addresses.
  }

  override dispose(): void {
    // Holds no resources.
  }
}

class FleetNode {
  readonly directory: NodeDirectory;
  readonly server: TableServer;
  readonly links: IModelledLinks;
  private readonly service: DirectoryService;
  private readonly lostController = new AbortController();

  constructor(
    readonly fleet: DistributionFleet,
    readonly member: IMember,
    linkMbps: number,
  ) {
    const { busyShare = 0, clock } = fleet.options;
    this.links = {
      egress: new ModelledLink(clock, linkMbps, busyShare),
      ingress: new ModelledLink(clock, linkMbps, busyShare),
    };
    this.directory = new NodeDirectory(clock);
    const { encoder } = this.directory;
    this.server = new TableServer({
      clock,
      tables: this.directory.listTables(),
      encoder,
      bytesPerMs: linkMbps * BYTES_PER_MS_PER_MBPS,
    });
    this.service = new DirectoryService({
      directory: this.directory,
      authority: new ModelledAuthority(this),
      channel: new ModelledChannel(this),
      transport: new ModelledTransport(this),
      clock,
      random: fleet.random,
      log: createSilentLogger(),
      self: member,
      isFirstStart: false,
      seeds: [],
      hasReceivedRequests: () => true,
    });
  }

  /** Aborts when the VM loses power. */
  get lost(): AbortSignal {
    return this.lostController.signal;
  }

  get isDown(): boolean {
    return this.lost.aborted;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.service.run(AbortSignal.any([signal, this.lost]));
  }

  /** Loses power: nothing is sent any more, and connections stay open without data. */
  stop(): void {
    this.lostController.abort(new Error('power lost'));
  }

  receive(sender: string, body: DatagramBody): void {
    if (this.isDown) return;
    if (body.case === 'update') this.service.handleUpdate(sender, body.value);
    if (body.case === 'updateReceived') this.service.handleUpdateReceived(sender, body.value);
    if (body.case === 'hello') this.service.handleHello(sender);
  }
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
  readonly nodes = new Map<string, FleetNode>();
  catalog: ICatalog;
  private readonly end = new AbortController();
  private running: readonly Promise<void>[] = [];

  constructor(readonly options: IDistributionFleetOptions) {
    this.clock = options.clock;
    this.random = new SeededRandom(options.seed);
    this.catalog = makeCatalog(1, makeRoutes(options.routes, this.random));
    const links = options.vms.flatMap((kind) => Array.from({ length: kind.count }, () => kind));
    for (const { capacity, linkMbps } of links) {
      const value = makeMember(this.members.length, capacity);
      this.members.push({ key: value.address, value });
      this.nodes.set(value.address, new FleetNode(this, value, linkMbps));
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

  private putRoutes(count: number): void {
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
  findFollower(domain: number): FleetNode | undefined {
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

  private countOutdated(): number {
    const isOutdated = ({ directory, isDown }: FleetNode) => {
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

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => {
      reject(new Error('aborted'));
    });
  });
}

function formatDomain(domain: number): string {
  return `domain-${domain}`;
}

function makeMember(index: number, capacity: number): IMember {
  const domain = index % DOMAINS;
  const address = `10.0.${domain}.${Math.floor(index / DOMAINS)}:7200`;
  return {
    address,
    capacity,
    failureDomain: formatDomain(domain),
    stateAddress: address,
    incarnation: index + 1,
  };
}
