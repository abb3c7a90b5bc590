/** Runs the platform's program with a store and a target, all on loopback. */
import { createHash } from 'node:crypto';
import { writeFile, mkdtemp, rm } from 'node:fs/promises';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { request as openRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { IDisposable } from '@parsleymux/base';
import type { IMetadataLimits } from '@parsleymux/standins';
import {
  LoopbackServer,
  MetadataStandIn,
  makeConfigText,
  makeTargetText,
} from '@parsleymux/standins';
import { listFreePorts, makeSettings } from '../../bench/start/node/startTrial.js';
import type { ManagedProcess } from '../../processes/node/managedProcess.js';
import { ProcessFleet } from '../../processes/node/processFleet.js';
import { Program } from '../../processes/node/programs.js';

export const TRIAL_HOST = 'h.example';
const SERVICE = 'booking';
const TARGET_ID = 'target-1';
/** The options with which the program is deployed. */
const NODE_OPTIONS = ['--max-old-space-size=140', '--max-semi-space-size=4'];
const POLL_MS = 50;
const START_LIMIT_MS = 30_000;
/** Time without any byte after which a response counts as missing, in ms. */
const RESPONSE_LIMIT_MS = 30_000;
const OK = 200;
const MISDIRECTED = 421;

/** Limits of the VM, with their names in the settings file. */
export interface IVmLimits {
  readonly memory_mb: number;
  readonly max_fds: number;
}

/** Options of {@link PlatformTrial.open}. */
export interface IPlatformTrialOptions {
  readonly vm: IVmLimits;
  readonly limits: Partial<IMetadataLimits>;
  /** Timeout of all routes, in s. Default 2. */
  readonly timeoutS?: number;
  /** Sends the response of the target to a request. Default: the digest of the request's body. */
  readonly respond?: (response: ServerResponse, digest: string) => void;
}

/** The response to one ordinary request. */
export interface ITrialResponse {
  readonly status: number;
  readonly text: string;
}

/**
 * A node with its surroundings.
 *
 * @example
 * const trial = await PlatformTrial.open({ vm: { memory_mb: 250, max_fds: 400 }, limits: {} });
 * const { status } = await trial.send('/orders/1');
 */
export class PlatformTrial implements IDisposable {
  /** Addresses that accept connections. */
  readonly front: string;
  readonly ready: string;
  readonly state: string;
  readonly metrics: string;
  /** Requests that the target has run. */
  ran = 0;

  private constructor(
    readonly child: ManagedProcess,
    settings: IListenSettings,
    private readonly owned: readonly (() => unknown)[],
  ) {
    const [first, last] = settings.port_range;
    this.front = settings.listen.front;
    this.ready = settings.listen.ready;
    this.state = `${settings.ip}:${first + 1}`;
    this.metrics = `${settings.ip}:${last}`;
  }

  /** Starts everything and waits until the node serves requests. */
  static async open(options: IPlatformTrialOptions): Promise<PlatformTrial> {
    const store = await MetadataStandIn.open();
    const counted: { trial?: PlatformTrial } = {};
    const target = new LoopbackServer({
      handle: async (request, response) => {
        if (counted.trial !== undefined) counted.trial.ran += 1;
        await handleRequest(request, response, options.respond);
      },
    });
    await target.open();
    store.put('op', 'config', makeTrialConfig(options));
    const entry = { service: SERVICE, failureDomain: 'north', slots: 64 };
    store.put('servers', TARGET_ID, makeTargetText({ ...entry, address: target.getAddress() }));
    const directory = await mkdtemp(join(tmpdir(), 'parsleymux-clients-'));
    const path = join(directory, 'node.json');
    const text = makeSettings(await listFreePorts(), store.address);
    const settings = { ...(JSON.parse(text) as IListenSettings), limits: options.vm };
    await writeFile(path, JSON.stringify(settings));
    const fleet = new ProcessFleet({ handleSignals: false });
    const child = fleet.start({
      name: 'node',
      script: Program.PlatformNode,
      args: [path],
      nodeOptions: NODE_OPTIONS,
    });
    const trial = new PlatformTrial(child, settings, [
      () => fleet.dispose(),
      () => target.close(),
      () => store.dispose(),
      () => rm(directory, { recursive: true }),
    ]);
    counted.trial = trial;
    await trial.waitUntilServing();
    return trial;
  }

  /** Sends one request on a connection of its own. With several parts, the body is chunked. */
  send(path: string, parts: readonly Buffer[] = []): Promise<ITrialResponse> {
    return new Promise((resolve, reject) => {
      const [body] = parts;
      const headers = {
        host: TRIAL_HOST,
        'request-id': `r-${performance.now()}`,
        'deadline-ms': '10000',
        ...(parts.length === 1 && body !== undefined ? { 'content-length': body.byteLength } : {}),
      };
      const options = {
        agent: false,
        method: 'POST',
        headers,
        timeout: RESPONSE_LIMIT_MS,
      } as const;
      const sent = openRequest(`http://${this.front}${path}`, options, (response) => {
        const received: Buffer[] = [];
        response.on('data', (chunk: Buffer) => received.push(chunk));
        response.once('error', reject);
        response.once('end', () => {
          const text = Buffer.concat(received).toString();
          resolve({ status: response.statusCode ?? 0, text });
        });
      });
      sent.once('timeout', () => sent.destroy(new Error('no response')));
      sent.once('error', reject);
      for (const part of parts) sent.write(part);
      sent.end();
    });
  }

  async dispose(): Promise<void> {
    for (const close of this.owned) await close();
  }

  private async waitUntilServing(): Promise<void> {
    const startMs = performance.now();
    for (;;) {
      const response = await this.send('/orders/first').catch(() => undefined);
      if (response?.status === OK) return;
      if (!this.child.isRunning() || performance.now() - startMs > START_LIMIT_MS) {
        await this.dispose();
        throw new Error(`the node does not serve:\n${this.child.getErrorLines().join('\n')}`);
      }
      await sleep(POLL_MS);
    }
  }
}

interface IListenSettings {
  readonly ip: string;
  readonly listen: { readonly front: string; readonly ready: string };
  readonly port_range: readonly [number, number];
}

function makeTrialConfig({ limits, timeoutS = 2 }: IPlatformTrialOptions): string {
  const common = { host: TRIAL_HOST, timeoutS, objectiveS: 1, maxAttempts: 2, service: SERVICE };
  const routes = [
    { ...common, name: 'bookings', prefix: '/orders/', kind: 'unsafe' },
    { ...common, name: 'lists', prefix: '/lists/', kind: 'safe' },
  ] as const;
  return makeConfigText(3, routes, [SERVICE], limits);
}

/** Runs a request as a target: responds when the body has been received completely. */
async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  respond: IPlatformTrialOptions['respond'],
): Promise<void> {
  const { 'expect-instance': expected, 'request-id': id = '' } = request.headers;
  const hash = createHash('sha256');
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) hash.update(chunk);
  } catch {
    // The node has given the request up.
    return;
  }
  if (expected !== undefined && expected !== TARGET_ID) {
    response.writeHead(MISDIRECTED, { 'not-run': '1' }).end();
    return;
  }
  response.setHeader('request-id', id);
  response.setHeader('server-stamp', `stamp-${String(id)}`);
  const digest = hash.digest('hex');
  if (respond === undefined) response.end(digest);
  else respond(response, digest);
}

/**
 * Returns the digest with which the target confirms a body.
 *
 * @example
 * assert.equal(response.text, computeBodyDigest(parts));
 */
export function computeBodyDigest(parts: readonly Buffer[]): string {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part);
  return hash.digest('hex');
}
