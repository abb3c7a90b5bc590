/** Runs a platform stand-in, targets and nodes as separate processes. */
import { rmSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { IDisposable } from '@parsleymux/base';
import { SeededRandom, SystemClock } from '@parsleymux/base';
import { KeyStore } from '@parsleymux/operators';
import { VmState, openHttpPlatform } from '@parsleymux/store';
import type { IExecution } from '@parsleymux/standins';
import type { IIntentChange, ILabTarget } from '../common/worldLayout.js';
import {
  FAILURE_DOMAINS,
  MEMBERS,
  SERVICES,
  makeIntent,
  toIntentJson,
} from '../common/worldLayout.js';
import type { NodeProcess } from './nodeProcess.js';
import { startNode } from './nodeProcess.js';
import { OperatorCommand } from './operatorCommand.js';
import type { PlatformProcess } from './platformProcess.js';
import { startPlatform } from './platformProcess.js';
import { ProcessFleet } from './processFleet.js';
import type { TargetGroup } from './targetGroup.js';
import { startTargetGroup } from './targetGroup.js';

/** Options of a {@link LabWorld}. */
export interface ILabWorldOptions {
  readonly seed: number;
  /** Default 5. */
  readonly nodeCount?: number;
  /** Overrides of values in the timing section of every node's settings. */
  readonly nodeTiming?: Readonly<Record<string, number>>;
  /** Overrides of values in the limits section of every node's settings. */
  readonly nodeLimits?: Readonly<Record<string, number>>;
  /** The security section of every node's settings. */
  readonly nodeSecurity?: object;
  /** CA file for the certificates of the administration API. Absent: plain HTTP. */
  readonly adminAuthorityFile?: string;
  /** Options of the Node.js runtime, for every node of the fleet. */
  readonly nodeOptions?: readonly string[];
  /** Chooses the platform's address for node number `index`. Default: the address that it listens on. */
  readonly choosePlatformAddress?: (address: string, index: number) => Promise<string>;
  /** Chooses a target's address in the intent. Default: the address that the target listens on. */
  readonly chooseTargetAddress?: (target: ILabTarget) => Promise<string>;
}

const DEFAULT_NODE_COUNT = 5;
/** Longer than the shutdown limit of the lab's nodes. */
const GRACE_MS = 12_000;
const FIRST_NODE_HOST = 11;

/**
 * A fleet with its platform and targets.
 *
 * @example
 * const world = new LabWorld({ seed: 1 });
 * await world.start();
 * await world.applyIntents();
 * await world.dispose();
 */
export class LabWorld implements IDisposable {
  readonly fleet = new ProcessFleet({ graceMs: GRACE_MS, handleSignals: false });
  private readonly options: ILabWorldOptions;
  private readonly groups: TargetGroup[] = [];
  private readonly nodes: NodeProcess[] = [];
  private readonly keys = new Map<string, string>();
  private targets: ILabTarget[] = [];
  private platformProcess: PlatformProcess | undefined;
  private directory: string | undefined;
  private nodesStarted = 0;
  private intentsWritten = 0;

  constructor(options: ILabWorldOptions) {
    this.options = options;
  }

  get platform(): PlatformProcess {
    if (this.platformProcess === undefined) throw new Error('the world has not started');
    return this.platformProcess;
  }

  /** Starts everything and waits until every node is ready. */
  async start(): Promise<void> {
    const directory = await mkdtemp(join(tmpdir(), 'parsleymux-lab-'));
    this.directory = directory;
    process.once('exit', () => {
      rmSync(directory, { recursive: true, force: true });
    });
    this.platformProcess = await startPlatform(this.fleet, { vmLagMs: 500 });
    await this.createOperatorKeys(this.platformProcess.address);
    const groups = SERVICES.map((service, index) => {
      return startTargetGroup(this.fleet, service, this.options.seed * 10 + index);
    });
    this.groups.push(...(await Promise.all(groups)));
    await this.chooseTargetAddresses();
    const count = this.options.nodeCount ?? DEFAULT_NODE_COUNT;
    const nodes = await Promise.all(Array.from({ length: count }, () => this.startNextNode()));
    await Promise.all(nodes.map((node) => node.waitUntilReady()));
  }

  /** Starts one more node, in the next failure domain, and waits until it is ready. */
  async addNode(): Promise<NodeProcess> {
    const node = await this.startNextNode();
    await node.waitUntilReady();
    return node;
  }

  /** Starts one more node, in the next failure domain; the node may not be ready on return. */
  async startNextNode(): Promise<NodeProcess> {
    const index = this.nodesStarted;
    this.nodesStarted += 1;
    const directAddress = this.platform.address;
    const platformAddress =
      (await this.options.choosePlatformAddress?.(directAddress, index)) ?? directAddress;
    const node = await startNode(this.fleet, {
      name: `node-${index}`,
      host: `127.0.0.${FIRST_NODE_HOST + index}`,
      failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? FAILURE_DOMAINS[0],
      platformUrl: `http://${platformAddress}`,
      directory: this.directory ?? tmpdir(),
      timing: this.options.nodeTiming ?? {},
      limits: this.options.nodeLimits ?? {},
      security: this.options.nodeSecurity ?? {},
      nodeOptions: this.options.nodeOptions ?? [],
    });
    this.nodes.push(node);
    const { failureDomain } = node.options;
    await this.platform.registerVm({
      address: node.addresses.peer,
      failureDomain,
      state: VmState.Live,
    });
    return node;
  }

  /** Returns the nodes whose processes are running. */
  getNodes(): readonly NodeProcess[] {
    return this.nodes.filter(({ child }) => child.isRunning());
  }

  /** Returns every node that was started, including those that have ended. */
  getAllNodes(): readonly NodeProcess[] {
    return this.nodes;
  }

  /** Returns the targets with their addresses in the intents. */
  getTargets(): readonly ILabTarget[] {
    return this.targets;
  }

  getGroup(target: ILabTarget): TargetGroup {
    const found = this.groups.find(({ targets }) => {
      return targets.some(({ control }) => control === target.control);
    });
    if (found === undefined) throw new Error(`no target at ${target.address}`);
    return found;
  }

  /** Returns an operator of the member that uses the administration address of a running node. */
  getOperator(member: string, nodeIndex = 0): OperatorCommand {
    const nodes = this.getNodes();
    const node = nodes[nodeIndex % nodes.length];
    if (node === undefined) throw new Error('no node is running');
    return new OperatorCommand({
      fleet: this.fleet,
      admin: node.addresses.admin,
      key: this.keys.get(member) ?? '',
      authorityFile: this.options.adminAuthorityFile,
    });
  }

  /** Writes an intent file for `parsleyctl`; returns its path. */
  async writeIntent(
    member: string,
    targets: readonly ILabTarget[],
    change: IIntentChange = {},
  ): Promise<string> {
    this.intentsWritten += 1;
    const path = join(this.directory ?? tmpdir(), `${member}-${this.intentsWritten}.json`);
    const json = toIntentJson(makeIntent(member, targets, change));
    await writeFile(path, JSON.stringify(json, undefined, 2));
    return path;
  }

  /** Submits and confirms every member's intent; returns the ids of the plans. */
  async applyIntents(): Promise<readonly string[]> {
    const ids: string[] = [];
    for (const member of MEMBERS) {
      const file = await this.writeIntent(member, this.targets);
      ids.push(await this.getOperator(member).applyIntent(file));
    }
    return ids;
  }

  /** Kills a node as if its VM had failed, and removes it from the platform's list. */
  async endNode(node: NodeProcess): Promise<void> {
    node.child.sendSignal('SIGKILL');
    await node.child.waitForEnd();
    await this.platform.removeVm(node.addresses.peer);
  }

  /** Marks a node as shutting down on the platform's list. */
  async markShuttingDown(node: NodeProcess): Promise<void> {
    const { failureDomain } = node.options;
    const { peer } = node.addresses;
    await this.platform.registerVm({ address: peer, failureDomain, state: VmState.Leaving });
  }

  /** Ends every fault of every target. */
  async clearTargetFaults(): Promise<void> {
    await Promise.all(this.groups.map((group) => group.clearFaults()));
  }

  /** Returns the address that a target listens on, which may be behind a faulty link. */
  getDirectAddress(control: string): string {
    const targets = this.groups.flatMap((group) => group.targets);
    return targets.find((target) => target.control === control)?.address ?? '';
  }

  async fetchExecutions(): Promise<readonly IExecution[]> {
    const lists = await Promise.all(this.groups.map((group) => group.fetchExecutions()));
    return lists.flat();
  }

  /** Stops the nodes first, since they need targets and platform to finish requests in flight. */
  async dispose(): Promise<void> {
    await Promise.all(this.getNodes().map(({ child }) => child.stop(GRACE_MS)));
    await this.fleet.dispose();
    if (this.directory !== undefined) await rm(this.directory, { recursive: true, force: true });
  }

  /** Creates one operator key for each member, as the operators of the fleet do. */
  private async createOperatorKeys(platformAddress: string): Promise<void> {
    const platform = openHttpPlatform({ url: `http://${platformAddress}` });
    const random = new SeededRandom(this.options.seed);
    const store = new KeyStore({ table: platform.table, clock: new SystemClock(), random });
    for (const member of MEMBERS) {
      const { key } = await store.create({ member, note: 'lab', operator: 'lab' });
      this.keys.set(member, key);
    }
    await platform.dispose();
  }

  private async chooseTargetAddresses(): Promise<void> {
    const choose = this.options.chooseTargetAddress;
    const direct = this.groups.flatMap(({ targets }) => targets);
    this.targets = await Promise.all(
      direct.map(async (target) => {
        return choose === undefined ? target : { ...target, address: await choose(target) };
      }),
    );
  }
}
