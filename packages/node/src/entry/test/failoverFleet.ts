/** Nodes with their own membership, placement and router on a simulated network, for tests. */
import { create } from '@bufbuild/protobuf';
import type { Event } from '@parsleymux/base';
import { ManualClock, ResultCode, RunState, SeededRandom, toDisposable } from '@parsleymux/base';
import type { IFleetConfig, IFleetConfigChange } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import { ListedMembershipService, RendezvousPlacement } from '@parsleymux/fleet';
import type { IVm } from '@parsleymux/store';
import { VmList, VmState } from '@parsleymux/store';
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';
import { HomeService } from '@parsleymux/routing';
import { MemberConfigSchema, RouteSchema } from '@parsleymux/schema';
import { HomeRouter } from '../common/homeRouter.js';
import { HopError, HopFailure } from '../../hop/common/hopError.js';
import { HopTransport } from '../../hop/common/hopTransport.js';

const ROUTE = create(RouteSchema, { name: 'read', host: 'h', service: 'survey', idempotent: true });
const HOP_MS = 2;
/** Time that an entry waits for the first heartbeat, in ms. */
const HEARTBEAT_TIMEOUT_MS = 400;

/** How a node responds to hops. */
export const NodeCondition = {
  Up: 'up',
  /** The process has ended: connections are refused. */
  Killed: 'killed',
  /** The process is stopped: connections are accepted, but no response is sent. */
  Paused: 'paused',
  ShuttingDown: 'shutting-down',
} as const;

export type NodeCondition = (typeof NodeCondition)[keyof typeof NodeCondition];

/** The platform's list of VMs, which changes only when the test sets it. */
class TestVmList extends VmList {
  vms: readonly IVm[] = [];

  override list(): Promise<readonly IVm[]> {
    return Promise.resolve(this.vms);
  }
}

class FixedConfig extends ConfigService {
  override readonly onDidChange: Event<IFleetConfigChange> = () => toDisposable(() => undefined);
  private readonly config: IFleetConfig;

  constructor(domain: string) {
    super();
    const targets = [{ address: '10.0.0.1:1', failureDomain: domain, slots: 4 }];
    const intent = { member: 'm', services: [{ name: 'survey', targets }], routes: [ROUTE] };
    const member = create(MemberConfigSchema, { member: 'm', memberRevision: 1n, intent });
    this.config = { fleetRevision: 1, members: new Map([['m', member]]) };
  }

  override getCurrent(): IFleetConfig {
    return this.config;
  }
}

class CountingHome extends HomeService {
  served = 0;

  override handle(): Promise<IResponse> {
    this.served += 1;
    const body = new Uint8Array();
    const { Ok: code } = ResultCode;
    return Promise.resolve({ status: 200, headers: [], body, code, runState: RunState.Ran });
  }

  override getSpareSlots(): number {
    return 0;
  }

  override getInFlight(): number {
    return 0;
  }

  override getStatus(): readonly [] {
    return [];
  }
}

/** One node of the fleet. */
export class FailoverNode {
  readonly home = new CountingHome();
  readonly membership: ListedMembershipService;
  readonly router: HomeRouter;
  condition: NodeCondition = NodeCondition.Up;
  /** Share of hops without a response in time, as with an overloaded process. */
  unansweredShare = 0;
  private readonly abort = new AbortController();
  private readonly running: Promise<void>;

  constructor(
    fleet: FailoverFleet,
    readonly address: string,
    seed: number,
  ) {
    const { clock, vms } = fleet;
    const self = { address, failureDomain: 'north' };
    const random = new SeededRandom(seed);
    this.membership = new ListedMembershipService({ self, vms, clock, random });
    const placement = new RendezvousPlacement();
    placement.setNodes(this.membership.getLiveNodes());
    this.membership.onDidChange((nodes) => {
      placement.setNodes(nodes);
    });
    this.router = new HomeRouter({
      clock,
      config: new FixedConfig('north'),
      membership: this.membership,
      placement,
      hop: new TestHop(fleet, address),
      home: this.home,
      self: address,
      isShuttingDown: () => this.condition === NodeCondition.ShuttingDown,
      isStale: () => false,
    });
    this.running = this.membership.run(this.abort.signal);
  }

  async stop(): Promise<void> {
    this.abort.abort();
    await this.running;
    this.membership.dispose();
  }
}

/** Result of one request. */
export interface IServedRequest {
  readonly latencyMs: number;
  /** Hops that were tried, in order. */
  readonly tried: readonly string[];
}

/**
 * A fleet whose nodes are all in one failure domain.
 *
 * @example
 * const fleet = await FailoverFleet.open(5);
 * fleet.getHome().condition = NodeCondition.Killed;
 * const served = await fleet.serve(fleet.getEntry());
 */
export class FailoverFleet {
  readonly clock = new ManualClock();
  readonly vms = new TestVmList();
  readonly nodes = new Map<string, FailoverNode>();
  readonly random = new SeededRandom(9);
  /** Partitioned one-way paths, as "from to". */
  readonly partitions = new Set<string>();
  tried: string[] = [];

  static async open(count: number): Promise<FailoverFleet> {
    const fleet = new FailoverFleet();
    const addresses = Array.from({ length: count }, (_, index) => `10.0.0.${index + 1}:7002`);
    fleet.setListed(addresses);
    for (const [index, address] of addresses.entries()) {
      fleet.nodes.set(address, new FailoverNode(fleet, address, index));
    }
    await fleet.clock.advanceBy(0);
    return fleet;
  }

  setListed(addresses: readonly string[]): void {
    this.vms.vms = addresses.map((address) => {
      return { address, failureDomain: 'north', state: VmState.Live };
    });
  }

  /** Lists the nodes in the order in which they are candidates for the home, as if all were live. */
  listCandidates(): readonly FailoverNode[] {
    const placement = new RendezvousPlacement();
    const nodes = [...this.nodes.keys()].map((address) => ({ address, failureDomain: 'north' }));
    placement.setNodes(nodes);
    const ranked = placement.rank({ id: 'm/survey', failureDomains: ['north'] }, nodes.length);
    return ranked.map(({ address }) => this.getNode(address));
  }

  /** Returns a node that is not among the first three candidates. */
  getEntry(): FailoverNode {
    return this.listCandidates()[3] ?? this.getNode('');
  }

  getNode(address: string): FailoverNode {
    const node = this.nodes.get(address);
    if (node === undefined) throw new Error(`no node ${address}`);
    return node;
  }

  /** Serves one request that arrived at `entry`, advancing the clock until there is a response. */
  async serve(entry: FailoverNode): Promise<IServedRequest> {
    const startMs = this.clock.getMonotonicTime();
    this.tried = [];
    let response: IResponse | undefined;
    const done = entry.router.serve(makeRequest(), new AbortController().signal).then((value) => {
      response = value;
    });
    while (response === undefined) await this.clock.advanceBy(1);
    await done;
    return { latencyMs: this.clock.getMonotonicTime() - startMs, tried: this.tried };
  }

  async stop(): Promise<void> {
    const stopped = [...this.nodes.values()].map((node) => node.stop());
    await this.clock.advanceBy(1);
    await Promise.all(stopped);
  }
}

class TestHop extends HopTransport {
  constructor(
    private readonly fleet: FailoverFleet,
    private readonly from: string,
  ) {
    super();
  }

  override async send(peer: string): Promise<IResponse> {
    const { clock, partitions: cuts, random } = this.fleet;
    this.fleet.tried.push(peer);
    const node = this.fleet.getNode(peer);
    if (node.condition === NodeCondition.Killed) {
      await clock.sleep(HOP_MS);
      throw new HopError(HopFailure.NotDelivered, 'refused');
    }
    const isPartitioned = cuts.has(`${this.from} ${peer}`) || cuts.has(`${peer} ${this.from}`);
    const isUnanswered = isPartitioned || random.getFloat() < node.unansweredShare;
    if (isUnanswered || node.condition === NodeCondition.Paused) {
      await clock.sleep(HEARTBEAT_TIMEOUT_MS);
      throw new HopError(HopFailure.Lost, 'no heartbeat');
    }
    await clock.sleep(HOP_MS);
    if (node.condition === NodeCondition.ShuttingDown) {
      throw new HopError(HopFailure.ShuttingDown, 'shutting down');
    }
    return node.home.handle();
  }

  override retireConnections(): void {
    return;
  }
}

function makeRequest(): IRoutedRequest {
  return {
    member: 'm',
    route: ROUTE,
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    deadlineMs: Infinity,
    caller: 'c',
    idempotencyKey: undefined,
  };
}
