/** Runs two nodes in front of the targets of one service, in separate processes. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import type { IDisposable } from '@parsleymux/base';
import { SeededRandom, SystemClock } from '@parsleymux/base';
import { IntentValidator, PlanBuilder, PlanStore } from '@parsleymux/config';
import { RendezvousPlacement } from '@parsleymux/fleet';
import { openHttpPlatform, VmState } from '@parsleymux/store';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';
import type { ILabTarget } from '../../../processes/common/worldLayout.js';
import type { NodeProcess } from '../../../processes/node/nodeProcess.js';
import { startNode } from '../../../processes/node/nodeProcess.js';
import type { PlatformProcess } from '../../../processes/node/platformProcess.js';
import { startPlatform } from '../../../processes/node/platformProcess.js';
import { ProcessFleet } from '../../../processes/node/processFleet.js';
import { startTargetGroup } from '../../../processes/node/targetGroup.js';

/** The only member. */
export const MEMBER = 'member';
/** The only service of the member. */
export const SERVICE = 'service';
/** Host name of the idempotent route. */
export const READ_HOST = 'read.example';
/** Host name of the non-idempotent route. */
export const BOOKING_HOST = 'book.example';

const NODE_COUNT = 2;
const FIRST_NODE_HOST = 31;
const DOMAIN = 'north';
const TARGETS_PER_DOMAIN = 8;
const SLOTS = 16;
const SETTLE_MS = 1500;
/** Default intervals of a production node, in place of the shorter ones of the lab. */
const TIMING = { configPollMs: 2000, vmListPollMs: 2000 };

/** Options of {@link startHopWorld}. */
export interface IHopWorldOptions {
  readonly seed: number;
  readonly meanServiceMs: number;
  /** Options of Node.js for the nodes, such as profiler options. */
  readonly nodeOptions: readonly string[];
}

/**
 * The running processes.
 *
 * @example
 * const { home, other } = await startHopWorld(options);
 */
export class HopWorld implements IDisposable {
  constructor(
    readonly fleet: ProcessFleet,
    readonly targets: readonly ILabTarget[],
    /** The home of the service. */
    readonly home: NodeProcess,
    readonly other: NodeProcess,
    private readonly directory: string,
  ) {}

  async dispose(): Promise<void> {
    await this.fleet.dispose();
    await rm(this.directory, { recursive: true, force: true });
  }
}

/**
 * Starts all processes and puts the configuration in force.
 *
 * @example
 * const world = await startHopWorld({ seed: 1, meanServiceMs: 2, nodeOptions: [] });
 * await world.dispose();
 */
export async function startHopWorld(options: IHopWorldOptions): Promise<HopWorld> {
  const fleet = new ProcessFleet({ graceMs: 10_000 });
  const directory = await mkdtemp(join(tmpdir(), 'parsleymux-hop-'));
  const platform = await startPlatform(fleet, { vmLagMs: 0 });
  const group = await startTargetGroup(
    fleet,
    {
      member: MEMBER,
      name: SERVICE,
      targetsPerDomain: TARGETS_PER_DOMAIN,
      slots: SLOTS,
      maxConnections: 400,
      meanServiceMs: options.meanServiceMs,
      floorSlots: 1,
      idempotent: true,
      perSecond: 1,
    },
    options.seed,
  );
  const nodes: NodeProcess[] = [];
  for (let index = 0; index < NODE_COUNT; index += 1) {
    nodes.push(await addNode(fleet, platform, directory, index, options.nodeOptions));
  }
  await Promise.all(nodes.map((node) => node.waitUntilReady()));
  await putInForce(platform.address, makeIntent(group.targets), options.seed);
  await sleep(SETTLE_MS + TIMING.configPollMs);
  const [home, other] = sortByHome(nodes);
  return new HopWorld(fleet, group.targets, home, other, directory);
}

async function addNode(
  fleet: ProcessFleet,
  platform: PlatformProcess,
  directory: string,
  index: number,
  nodeOptions: readonly string[],
): Promise<NodeProcess> {
  const node = await startNode(fleet, {
    name: `node-${index}`,
    host: `127.0.0.${FIRST_NODE_HOST + index}`,
    failureDomain: DOMAIN,
    platformUrl: `http://${platform.address}`,
    directory,
    timing: TIMING,
    nodeOptions,
  });
  const address = node.addresses.peer;
  await platform.registerVm({ address, failureDomain: DOMAIN, state: VmState.Live });
  return node;
}

async function putInForce(address: string, intent: Intent, seed: number): Promise<void> {
  const platform = openHttpPlatform({ url: `http://${address}` });
  const plans = new PlanStore({
    platform,
    clock: new SystemClock(),
    random: new SeededRandom(seed),
    validator: new IntentValidator(),
    builder: new PlanBuilder(),
  });
  const plan = await plans.propose(intent, 'bench');
  await plans.confirm({ member: MEMBER, planId: plan.id, operator: 'bench' });
  await platform.dispose();
}

function makeIntent(labTargets: readonly ILabTarget[]): Intent {
  const targets = labTargets.map(({ address }) => {
    return { address, failureDomain: DOMAIN, slots: SLOTS, maxConnections: 400 };
  });
  const shared = { pathPrefix: '/', service: SERVICE, deadlineMs: 10_000 };
  return create(IntentSchema, {
    member: MEMBER,
    services: [{ name: SERVICE, targets, floorSlots: 1 }],
    routes: [
      { ...shared, name: 'read', host: READ_HOST, idempotent: true },
      { ...shared, name: 'book', host: BOOKING_HOST, keyHeader: 'idempotency-key' },
    ],
  });
}

function sortByHome(nodes: readonly NodeProcess[]): readonly [NodeProcess, NodeProcess] {
  const placement = new RendezvousPlacement();
  placement.setNodes(
    nodes.map(({ addresses }) => ({ address: addresses.peer, failureDomain: DOMAIN })),
  );
  const [first] = placement.rank({ id: `${MEMBER}/${SERVICE}`, failureDomains: [DOMAIN] }, 1);
  const home = nodes.find(({ addresses }) => addresses.peer === first?.address);
  const other = nodes.find((node) => node !== home);
  if (home === undefined || other === undefined) throw new Error('two nodes are needed');
  return [home, other];
}
