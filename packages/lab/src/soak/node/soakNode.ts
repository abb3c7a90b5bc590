/** One VM of the soak: its addresses, its settings file, its link to the store and its process. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { IDisposable } from '@parsleymux/base';
import { FaultyLink } from '@parsleymux/standins';
import { request } from 'undici';
import { isPathCutCaught, isReloadCaught } from '../../processes/node/caughtSignals.js';
import type { IProcessEnd, ManagedProcess } from '../../processes/node/managedProcess.js';
import type { ProcessFleet } from '../../processes/node/processFleet.js';
import { Program } from '../../processes/node/programs.js';
import { SOAK_BOUNDS, SOAK_NODE_DOMAINS, SOAK_SCHEDULING } from '../common/soakLayout.js';

/** Number of ports in the node's `port_range`, besides the front and ready ports. */
const PORT_RANGE_SIZE = 16;
const READY_TIMEOUT_MS = 900;
const PATH_CUT_MODULE = new URL('pathCutModule.js', import.meta.url).href;
/**
 * Last byte of the first node's address in 127.0.0.0/8. The bytes before it come from the run's process
 * id, so that concurrent runs use different addresses.
 */
const FIRST_HOST = 11;
const NETWORKS = 200;

/** Options of a {@link SoakNode}. */
export interface ISoakNodeOptions {
  readonly index: number;
  readonly fleet: ProcessFleet;
  readonly directory: string;
  readonly storeAddress: string;
  /** Module that the node loads first and that disables a mechanism in it. */
  readonly breakModule: string | undefined;
  /** Processors that the process may use; undefined for all. */
  readonly processors?: string | undefined;
  /** Called when a process ends; `isRequested` is true when the soak had sent SIGTERM or SIGKILL. */
  readonly onDidEnd: (node: SoakNode, end: IProcessEnd, isRequested: boolean) => void;
}

/** Changes to a settings file. */
export interface ISettingsChange {
  readonly retryBurst?: number;
  /** Whether only the beginning of the text is written. */
  readonly isBroken?: boolean;
}

/** A VM whose process may end and start again at the same addresses. */
export class SoakNode implements IDisposable {
  readonly name: string;
  readonly host: string;
  /** Number of processes started so far. */
  incarnation = 0;
  private child: ManagedProcess | undefined;
  private readonly previousLines: string[] = [];
  private isEndRequested = false;
  private isStarting = false;
  private ports: readonly number[] = [];
  private storeLink: FaultyLink | undefined;

  constructor(private readonly options: ISoakNodeOptions) {
    this.name = `node-${options.index}`;
    const network = process.pid % NETWORKS;
    this.host = `127.${1 + (Math.floor(process.pid / NETWORKS) % NETWORKS)}.${network}.${FIRST_HOST + options.index}`;
  }

  get failureDomain(): string {
    const { index } = this.options;
    return SOAK_NODE_DOMAINS[index % SOAK_NODE_DOMAINS.length] ?? SOAK_NODE_DOMAINS[0];
  }

  get front(): string {
    return `${this.host}:${this.ports[0] ?? 0}`;
  }

  get link(): FaultyLink {
    if (this.storeLink === undefined) throw new Error(`${this.name} is not open`);
    return this.storeLink;
  }

  isRunning(): boolean {
    return this.child?.isRunning() === true;
  }

  /** Whether it runs, is not stopped by SIGSTOP and was not requested to end. */
  isUsable(): boolean {
    return this.isRunning() && this.child?.isStopped() !== true && !this.isEndRequested;
  }

  /** Whether SIGHUP is handled; the process can install its handler only some time after its start. */
  isReloadCaught(): boolean {
    return this.isRunning() && isReloadCaught(this.child?.pid ?? -1);
  }

  /** Whether the signal that cuts it off from all targets is handled. */
  isPathCutCaught(): boolean {
    return this.isRunning() && isPathCutCaught(this.child?.pid ?? -1);
  }

  /** Chooses the addresses. */
  async open(): Promise<void> {
    this.ports = await listFreePorts(this.host, 3);
    this.storeLink = new FaultyLink({ to: this.options.storeAddress });
    await this.storeLink.start();
  }

  /** Starts the process; it may not be ready on return. */
  async start(seeds: readonly SoakNode[], isFirstStart: boolean): Promise<void> {
    // The end of a fault and the end of a run may both start the node. A second process of the same
    // node would fail because its addresses are in use.
    if (this.isStarting) return;
    this.isStarting = true;
    try {
      await this.writeSettings(seeds, isFirstStart, {});
      this.startProcess();
    } finally {
      this.isStarting = false;
    }
  }

  private startProcess(): void {
    this.previousLines.push(...this.getCurrentLines(), `end of incarnation ${this.incarnation}`);
    this.incarnation += 1;
    this.isEndRequested = false;
    const { breakModule, fleet, processors } = this.options;
    const child = fleet.start({
      name: this.name,
      script: breakModule === undefined ? Program.PlatformNode : Program.PlatformModules,
      args: [this.settingsPath],
      processors,
      nodeOptions: [
        ...['--import', PATH_CUT_MODULE],
        ...(breakModule === undefined ? [] : ['--import', breakModule]),
      ],
    });
    this.child = child;
    void child.waitForEnd().then((end) => {
      this.options.onDidEnd(this, end, this.isEndRequested);
    });
  }

  /** Sends a signal; an end after SIGTERM or SIGKILL counts as requested. */
  sendSignal(signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.isEndRequested = true;
    this.child?.sendSignal(signal);
  }

  waitForEnd(): Promise<IProcessEnd | undefined> {
    return this.child?.waitForEnd() ?? Promise.resolve(undefined);
  }

  /** Returns the output of all its processes, oldest first. */
  getLogLines(): readonly string[] {
    return [...this.previousLines, ...this.getCurrentLines()];
  }

  async isReady(): Promise<boolean> {
    if (!this.isRunning()) return false;
    try {
      const url = `http://${this.host}:${this.ports[1] ?? 0}/readyz`;
      const response = await request(url, { signal: AbortSignal.timeout(READY_TIMEOUT_MS) });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      // Connection refused or timed out: not ready.
      return false;
    }
  }

  async writeSettings(
    seeds: readonly SoakNode[],
    isFirstStart: boolean,
    change: ISettingsChange,
  ): Promise<void> {
    const text = JSON.stringify(this.makeSettings(seeds, isFirstStart, change));
    await writeFile(this.settingsPath, change.isBroken === true ? text.slice(0, 99) : text);
  }

  dispose(): void {
    this.storeLink?.dispose();
  }

  private getCurrentLines(): readonly string[] {
    return [...(this.child?.getOutputLines() ?? []), ...(this.child?.getErrorLines() ?? [])];
  }

  private get settingsPath(): string {
    return join(this.options.directory, `${this.name}.json`);
  }

  private makeSettings(
    seeds: readonly SoakNode[],
    isFirstStart: boolean,
    change: ISettingsChange,
  ): object {
    const [front, ready, first] = this.ports;
    const retry_burst = change.retryBurst ?? SOAK_BOUNDS.retry_burst;
    const machine = {
      node: this.name,
      zone: this.failureDomain,
      ip: this.host,
      listen: { front: `${this.host}:${front}`, ready: `${this.host}:${ready}` },
      port_range: [first, (first ?? 0) + PORT_RANGE_SIZE - 1],
      seeds: seeds.map(({ host }) => `${host}:1`),
      bootstrap: isFirstStart,
      bounds: { ...SOAK_BOUNDS, retry_burst },
      platform: { address: this.link.getAddress() },
    };
    return { machine, scheduling: SOAK_SCHEDULING };
  }
}

/**
 * Lists free ports of a host. The last one begins a range of free ports, since nothing but this run uses the
 * host.
 */
async function listFreePorts(host: string, count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  const [front = 0, ready = 0, first = 0] = ports;
  const isApart = [front, ready].every((port) => port < first || port >= first + PORT_RANGE_SIZE);
  const fits = first + PORT_RANGE_SIZE < 65_536;
  return isApart && fits ? ports : listFreePorts(host, count);
}
