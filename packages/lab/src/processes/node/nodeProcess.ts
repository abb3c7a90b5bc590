/** Starts one node of the fleet in a child process. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import VError from 'verror';
import { tryFetchText } from './jsonRequest.js';
import type { ManagedProcess } from './managedProcess.js';
import type { ProcessFleet } from './processFleet.js';
import { Program } from './programs.js';

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 1000;
const READY_LIMIT_MS = 30_000;

/** Options of {@link startNode}. */
export interface INodeProcessOptions {
  readonly name: string;
  /** Address within 127.0.0.0/8. */
  readonly host: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
  /** Directory that the settings file is written to. */
  readonly directory: string;
  /** Overrides of values in the settings' timing section. */
  readonly timing?: Readonly<Record<string, number>>;
  /** Overrides of values in the settings' limits section. */
  readonly limits?: Readonly<Record<string, number>>;
  /** The settings' security section. */
  readonly security?: object;
  /** Options of the Node.js runtime, such as a heap limit. */
  readonly nodeOptions?: readonly string[];
}

/** Addresses that a node listens on, as `ip:port`. */
export interface INodeAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
  readonly status: string;
}

/**
 * A node that was started.
 *
 * @example
 * const node = await startNode(fleet, options);
 * const isReady = await node.isReady();
 */
export class NodeProcess {
  constructor(
    readonly options: INodeProcessOptions,
    readonly addresses: INodeAddresses,
    readonly child: ManagedProcess,
  ) {}

  async isReady(): Promise<boolean> {
    const text = await tryFetchText(this.addresses.status, '/ready', READY_TIMEOUT_MS);
    return text !== undefined;
  }

  async waitUntilReady(): Promise<void> {
    const limitMs = performance.now() + READY_LIMIT_MS;
    while (!(await this.isReady())) {
      if (!this.child.isRunning() || performance.now() > limitMs) {
        const lines = this.child.getErrorLines().slice(-20).join('\n');
        throw new VError('%s did not become ready:\n%s', this.options.name, lines);
      }
      await sleep(READY_POLL_MS);
    }
  }

  fetchMetrics(): Promise<string | undefined> {
    return tryFetchText(this.addresses.status, '/metrics');
  }
}

/**
 * Starts a node on ports that the operating system chooses. The node is not yet ready on return.
 *
 * @example
 * const node = await startNode(fleet, options);
 * await node.waitUntilReady();
 */
export async function startNode(
  fleet: ProcessFleet,
  options: INodeProcessOptions,
): Promise<NodeProcess> {
  const path = join(options.directory, `${options.name}.json`);
  await mkdir(options.directory, { recursive: true });
  await writeFile(path, JSON.stringify(makeSettings(options), undefined, 2));
  const child = fleet.start({
    name: options.name,
    script: Program.Node,
    args: ['serve', path],
    nodeOptions: options.nodeOptions ?? [],
  });
  const addresses = (await child.waitForReady()) as INodeAddresses;
  return new NodeProcess(options, addresses, child);
}

function makeSettings(options: INodeProcessOptions): unknown {
  const address = `${options.host}:0`;
  return {
    failureDomain: options.failureDomain,
    peerAddress: address,
    callerAddress: address,
    adminAddress: address,
    statusAddress: address,
    platformUrl: options.platformUrl,
    timing: {
      configPollMs: 300,
      vmListPollMs: 300,
      isolationLimitMs: 5000,
      shutdownLimitMs: 8000,
      shutdownNoticeMs: 600,
      ...options.timing,
    },
    limits: { ...options.limits },
    security: { ...options.security },
    logging: { json: true },
  };
}
