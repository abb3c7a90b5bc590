/** Opens a real front server whose targets respond when the test says so. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { TestContext } from 'node:test';
import {
  MemoryBudget,
  ResultCode,
  SeededRandom,
  SystemClock,
  closeServerImmediately,
  createSilentLogger,
  listenOn,
  parseEndpoint,
} from '@parsleymux/base';
import type { Header, ISendOptions, ITargetRequest, ITargetResponse } from '@parsleymux/routing';
import { TargetTransport } from '@parsleymux/routing';
import type { IGrantRequest } from '@parsleymux/scheduling';
import { makeQuarantine, makeRoute, makeTarget } from '@parsleymux/scheduling/testing';
import { Registry } from 'prom-client';
import { DestinationPicker } from '../catalog/common/destinationPicker.js';
import { NodeDirectory } from '../directory/common/nodeDirectory.js';
import type { CallerHeaders } from '../entry/common/callerProtocol.js';
import { CallerProtocol } from '../entry/common/callerProtocol.js';
import { PathHealth } from '../entry/common/pathHealth.js';
import { RequestRunner } from '../entry/common/requestRunner.js';
import { ShutdownLimit } from '../entry/common/shutdownLimit.js';
import { TargetNotices } from '../entry/common/targetNotices.js';
import { FrontServer } from '../entry/node/frontServer.js';
import { RequestLog } from '../entry/node/requestLog.js';
import type { Selection } from '../grants/common/targetSelector.js';
import { TargetSelector } from '../grants/common/targetSelector.js';
import { TargetDispatcher } from '../relay/common/targetDispatcher.js';
import type { Credential } from '../tenants/common/credential.js';
import { makeCatalog, makeKeyChecker } from './builders.js';

const HOST = 'booking.example';
const POLL_INTERVAL_MS = 2;
/** Only a fault reaches it. */
const WAIT_LIMIT_MS = 10_000;
const DEADLINE_MS = 30_000;

/** A caller's connection, on which requests are sent without waiting for responses. */
export class TestCaller {
  private text = '';
  isClosed = false;

  constructor(readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => (this.text += String(chunk)));
    socket.once('close', () => (this.isClosed = true));
  }

  send(name: string): void {
    this.socket.write(`GET /orders/${name} HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`);
  }

  /** Status, connection header and body of each received response, in order. */
  get responses(): readonly string[] {
    return this.text
      .split('HTTP/1.1 ')
      .slice(1)
      .map((text) => {
        const [head = '', body = ''] = text.split('\r\n\r\n');
        const connection = /^connection: (\S+)/im.exec(head)?.[1] ?? '';
        return `${head.slice(0, 3)} ${connection} ${body}`.trim();
      });
  }
}

interface IPendingAttempt {
  readonly name: string;
  readonly signal: AbortSignal;
  readonly resolve: (response: ITargetResponse) => void;
}

/** Keeps each attempt waiting until {@link settle} is called. */
export class PausedTransport extends TargetTransport {
  readonly attempts: IPendingAttempt[] = [];

  /** Names of the requests that were sent, in order. */
  get sent(): readonly string[] {
    return this.attempts.map(({ name }) => name);
  }

  /** Names of the requests whose attempts were cancelled. */
  get cancelled(): readonly string[] {
    return this.attempts.filter(({ signal }) => signal.aborted).map(({ name }) => name);
  }

  settle(name: string): void {
    const attempt = this.attempts.find((one) => one.name === name);
    const body = Buffer.from(name);
    attempt?.resolve({
      status: 200,
      headers: [],
      body,
      notRun: false,
      draining: false,
      latencyMs: 1,
    });
  }

  override send({ path }: ITargetRequest, { signal }: ISendOptions): Promise<ITargetResponse> {
    return new Promise((resolve, reject) => {
      this.attempts.push({ name: path.replace('/orders/', ''), signal, resolve });
      signal.addEventListener('abort', () => {
        reject(new Error('cancelled'));
      });
    });
  }

  override retireConnections(): void {
    // There are no idle connections.
  }

  override hasIdleConnection(): boolean {
    return false;
  }

  override getConnectionCount(): number {
    return 0;
  }
}

/** Grants each request a target, unless the test makes it fail or queue the request. */
class TestSelector extends TargetSelector {
  failure: Error | undefined;
  isQueueing = false;
  /** Number of queued requests. */
  queued = 0;

  override choose(_request: IGrantRequest, signal: AbortSignal): Promise<Selection> {
    if (this.failure !== undefined) return Promise.reject(this.failure);
    if (this.isQueueing) return this.addToQueue(signal);
    const report = (): void => undefined;
    const target = makeTarget('t1');
    const grant = { target, home: 'h', suspicion: 0, needsFreshConnection: false, report };
    return Promise.resolve({ kind: 'granted', grant });
  }

  private addToQueue(signal: AbortSignal): Promise<Selection> {
    this.queued += 1;
    return new Promise((_resolve, reject) => {
      signal.addEventListener('abort', () => {
        this.queued -= 1;
        reject(new Error('withdrawn'));
      });
    });
  }
}

class TestProtocol extends CallerProtocol {
  override getRequestId(): string | undefined {
    return undefined;
  }

  override getCaller(): string | undefined {
    return undefined;
  }

  override readCredential(): Credential {
    return { kind: 'unusable', code: ResultCode.KeyMissing };
  }

  override isPrivate(): boolean {
    return false;
  }

  override listTenantHeaders(): readonly Header[] {
    return [];
  }

  override getTimeoutMs(headers: CallerHeaders): number | undefined {
    return headers['timeout-ms'] === undefined ? undefined : Number(headers['timeout-ms']);
  }

  override listLocalResponseHeaders(): readonly Header[] {
    return [];
  }
}

/** A front server on loopback. */
export interface IFrontFixture {
  readonly front: FrontServer;
  readonly selector: TestSelector;
  readonly shutdownLimit: ShutdownLimit;
  readonly transport: PausedTransport;
  readonly openCaller: () => TestCaller;
}

export async function openFront(t: TestContext): Promise<IFrontFixture> {
  const clock = new SystemClock();
  const log = createSilentLogger();
  const random = new SeededRandom(1);
  const directory = new NodeDirectory(clock);
  const route = makeRoute({ isIdempotent: true, maxAttempts: 1, timeoutMs: DEADLINE_MS });
  const catalog = makeCatalog(1, [route]);
  directory.catalog.setAll({ version: 1, changes: [{ key: 'config', value: catalog }] }, 0);
  const keys = makeKeyChecker(clock, directory);
  const selector = new TestSelector();
  const shutdownLimit = new ShutdownLimit(clock);
  const transport = new PausedTransport();
  const runner = new RequestRunner({
    clock,
    keys,
    selector,
    dispatcher: new TargetDispatcher({ clock, transport }),
    quarantine: makeQuarantine(clock),
    notices: new TargetNotices(clock),
    paths: new PathHealth(clock, () => undefined),
    shutdownLimit,
    failureDomain: 'north',
    listTargets: () => [],
    isAuthentic: () => true,
    listTargetHeaders: () => [],
  });
  const front = new FrontServer({
    clock,
    directory,
    keys,
    log,
    random,
    runner,
    picker: new DestinationPicker(random),
    callers: new TestProtocol(),
    isConfigurationOutdated: () => false,
    isConfigurationCurrent: () => true,
    requestLog: new RequestLog({ clock, log, directory, registry: new Registry() }),
    budget: new MemoryBudget({ limitBytes: Infinity }),
    maxConnections: Infinity,
  });
  const { port } = parseEndpoint(await listenOn(front.server, '127.0.0.1:0'));
  t.after(() => closeServerImmediately(front.server));
  const openCaller = () => {
    const caller = new TestCaller(connect({ port, host: '127.0.0.1', noDelay: true }));
    t.after(() => caller.socket.destroy());
    return caller;
  };
  return { front, openCaller, selector, shutdownLimit, transport };
}

/** Waits until a condition holds; rejects if it doesn't within {@link WAIT_LIMIT_MS}. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let waitedMs = 0; !isTrue(); waitedMs += POLL_INTERVAL_MS) {
    if (waitedMs > WAIT_LIMIT_MS)
      throw new Error(`no change within ${WAIT_LIMIT_MS} ms: ${String(isTrue)}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
