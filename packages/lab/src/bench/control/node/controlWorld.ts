/** Runs a platform, nodes with several per process, and a configuration of a given size. */
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { create } from '@bufbuild/protobuf';
import type { IDisposable } from '@parsleymux/base';
import { SeededRandom, SystemClock } from '@parsleymux/base';
import { IntentValidator, PlanBuilder, PlanStore } from '@parsleymux/config';
import type { IHttpPlatform } from '@parsleymux/store';
import { openHttpPlatform, VmState } from '@parsleymux/store';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';
import type { INodeAddresses } from 'parsleymux';
import { request } from 'undici';
import { requestJson, tryFetchText } from '../../../processes/node/jsonRequest.js';
import type { PlatformProcess } from '../../../processes/node/platformProcess.js';
import { startPlatform } from '../../../processes/node/platformProcess.js';
import { ProcessFleet } from '../../../processes/node/processFleet.js';
import { Program } from '../../../processes/node/programs.js';
import type { IFleetShape } from '../common/fleetShape.js';
import { formatDomain, makeMemberIntent } from '../common/fleetShape.js';
import type { INodeHostConfig, INodeHostReady, INodeHostUsage } from './nodeHostMain.js';

const HOST_SCRIPT = fileURLToPath(new URL('./nodeHostMain.js', import.meta.url));
const READY_POLL_MS = 200;
const READY_TIMEOUT_MS = 60_000;
const LIVE_MEMBER = 'live';
const TARGETS_PER_SERVICE = 6;

/** Fleet size and load of one point in a series. */
export interface IControlPoint extends IFleetShape {
  readonly nodes: number;
  readonly nodesPerProcess: number;
  readonly changesPerSecond: number;
  /** Targets that run and have a home. The other configured targets are addresses only. */
  readonly liveTargets: number;
}

/**
 * Processes of one measurement.
 *
 * @example
 * const world = new ControlWorld(point, seed);
 * await world.start();
 * await world.dispose();
 */
export class ControlWorld implements IDisposable {
  private readonly fleet = new ProcessFleet({ graceMs: 3000 });
  private readonly hosts: INodeHostReady[] = [];
  private platform: IHttpPlatform | undefined;
  private platformProcess: PlatformProcess | undefined;
  private plans: PlanStore | undefined;
  private changes = 0;

  constructor(
    readonly point: IControlPoint,
    private readonly seed: number,
  ) {}

  async start(): Promise<void> {
    this.platformProcess = await startPlatform(this.fleet, { vmLagMs: 0 });
    const platform = openHttpPlatform({ url: `http://${this.platformProcess.address}` });
    this.platform = platform;
    this.plans = new PlanStore({
      platform,
      clock: new SystemClock(),
      random: new SeededRandom(this.seed),
      validator: new IntentValidator(),
      builder: new PlanBuilder(),
    });
    for (let index = 0; index < this.point.members; index += 1) {
      await this.putInForce(makeMemberIntent(this.point, index, 'first'));
    }
    if (this.point.liveTargets > 0) await this.startTargets();
    await this.startHosts(this.platformProcess);
    await this.waitUntilReady();
    await this.createHomes();
  }

  /** Confirms a change of one member, taking the members in turn. */
  async confirmChange(): Promise<void> {
    this.changes += 1;
    const member = this.changes % this.point.members;
    await this.putInForce(makeMemberIntent(this.point, member, `change ${this.changes}`));
  }

  readUsages(): Promise<readonly INodeHostUsage[]> {
    return Promise.all(
      this.hosts.map(async ({ usage }) => {
        return (await requestJson(usage, 'GET', '/')) as INodeHostUsage;
      }),
    );
  }

  async readPlatform(): Promise<{ readonly reads: number; readonly writes: number }> {
    const counters = await this.platformProcess?.fetchCounters();
    return { reads: counters?.reads ?? 0, writes: counters?.writes ?? 0 };
  }

  async dispose(): Promise<void> {
    await this.platform?.dispose();
    await this.fleet.dispose();
  }

  private async startHosts(platform: PlatformProcess): Promise<void> {
    const { nodes, nodesPerProcess } = this.point;
    const count = Math.ceil(nodes / nodesPerProcess);
    for (let index = 0; index < count; index += 1) {
      const config: INodeHostConfig = {
        count: Math.min(nodesPerProcess, nodes - index * nodesPerProcess),
        host: `127.0.1.${index + 1}`,
        platformUrl: `http://${platform.address}`,
        failureDomain: formatDomain(index),
      };
      const child = this.fleet.start({
        name: `nodes ${index}`,
        script: HOST_SCRIPT,
        args: [JSON.stringify(config)],
        nodeOptions: ['--expose-gc'],
      });
      const ready = (await child.waitForReady()) as INodeHostReady;
      this.hosts.push(ready);
      for (const { peer } of ready.nodes) {
        const { failureDomain } = config;
        await platform.registerVm({ address: peer, failureDomain, state: VmState.Live });
      }
    }
  }

  private listNodes(): readonly INodeAddresses[] {
    return this.hosts.flatMap(({ nodes }) => nodes);
  }

  private async waitUntilReady(): Promise<void> {
    const limitMs = performance.now() + READY_TIMEOUT_MS;
    for (const { status } of this.listNodes()) {
      while ((await tryFetchText(status, '/ready')) === undefined) {
        if (performance.now() > limitMs) throw new Error(`${status} did not become ready`);
        await sleep(READY_POLL_MS);
      }
    }
  }

  private async putInForce(intent: Intent): Promise<void> {
    if (this.plans === undefined) throw new Error('start() has not been called');
    const plan = await this.plans.propose(intent, 'bench');
    await this.plans.confirm({ member: intent.member, planId: plan.id, operator: 'bench' });
  }

  private async startTargets(): Promise<void> {
    const targets = Array.from({ length: this.point.liveTargets }, (_, index) => ({
      member: LIVE_MEMBER,
      service: formatLiveService(index),
      seed: index,
    }));
    const child = this.fleet.start({
      name: 'targets',
      script: Program.Target,
      args: ['--config', JSON.stringify({ targets })],
    });
    const ready = (await child.waitForReady()) as {
      readonly targets: readonly { readonly service: string; readonly address: string }[];
    };
    const names = [...new Set(ready.targets.map(({ service }) => service))];
    const services = names.map((name) => {
      const serviceTargets = ready.targets.filter(({ service }) => service === name);
      const list = serviceTargets.map(({ address }) => {
        return { address, failureDomain: formatDomain(0), slots: 4, maxConnections: 400 };
      });
      return { name, floorSlots: 1, targets: list };
    });
    const routes = names.map((service) => {
      return { name: service, host: `${service}.live`, pathPrefix: '/', service, idempotent: true };
    });
    await this.putInForce(create(IntentSchema, { member: LIVE_MEMBER, services, routes }));
  }

  /** Sends one request per live service: the first request creates the home. */
  private async createHomes(): Promise<void> {
    const [node] = this.listNodes();
    const count = Math.ceil(this.point.liveTargets / TARGETS_PER_SERVICE);
    for (let index = 0; index < count; index += 1) {
      const host = `${formatLiveService(index * TARGETS_PER_SERVICE)}.live`;
      const response = await request(`http://${node?.caller ?? ''}/x`, { headers: { host } });
      await response.body.dump();
      if (response.statusCode !== 200)
        throw new Error(`${host} responded with status ${response.statusCode}`);
    }
  }
}

function formatLiveService(target: number): string {
  return `live-${Math.floor(target / TARGETS_PER_SERVICE)}`;
}
