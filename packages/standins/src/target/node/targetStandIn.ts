/**
 * Stands in for one target. It executes requests under any path, except that it serves
 *
 * - `GET /health` and `GET /load`, which faults can make inaccurate;
 * - `GET /lookup/KEY`: 200 with the recorded response, 404 when the key was never executed, 409
 *   while its outcome is undecided;
 * - on a second address, `/control/*`: see targetControl.ts.
 *
 * Request headers: `idempotency-key`, `x-request-id`, `parsleymux-timeout-ms`. Response headers:
 * `parsleymux-draining: true` while draining, `parsleymux-run-state: not-run` on rejections.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import { RunState, SeededRandom, SystemClock } from '@parsleymux/base';
import { mergeFaults } from '../../control/common/faultSettings.js';
import { readBody } from '../../server/node/httpBody.js';
import { LoopbackServer } from '../../server/node/loopbackServer.js';
import { ExecutionLog } from '../common/executionLog.js';
import { sampleServiceTime } from '../common/serviceTime.js';
import { SlotOutcome, SlotQueue } from '../common/slotQueue.js';
import { computeChecksum, encodeResponseContent } from '../common/standInResponse.js';
import type { ITargetConfig, ITargetCounters, ITargetFaults } from '../common/targetConfig.js';
import { DEFAULT_TARGET_CONFIG, NO_TARGET_FAULTS } from '../common/targetConfig.js';
import { Exchange } from './exchange.js';
import { handleTargetControl } from './targetControl.js';
import { TargetProbes } from './targetProbes.js';
import type { MutableTargetCounters } from './targetResponder.js';
import { TargetResponder } from './targetResponder.js';

const OK = 200;
const FAILED = 500;
const UNAVAILABLE = 503;
const TIMED_OUT = 504;
const NOT_RUN = { 'parsleymux-run-state': RunState.NotRun };

/** Options of a {@link TargetStandIn}. */
export interface ITargetStandInOptions extends Partial<ITargetConfig> {
  /** Address within 127.0.0.0/8. Default 127.0.0.1. */
  readonly host?: string;
  /** Port for requests. Default 0: the operating system chooses. */
  readonly port?: number;
  readonly faults?: Partial<ITargetFaults>;
  /** Shared by the targets of one service. Default: a new log. */
  readonly executions?: ExecutionLog;
  readonly clock?: Clock;
}

/**
 * A simulated target with slots, service times and faults.
 *
 * @example
 * const target = new TargetStandIn({ member: 'relinieri', service: 'booking', slots: 4 });
 * await target.start();
 * await target.setFaults({ failShare: 0.3 });
 * await target.dispose();
 */
export class TargetStandIn implements IDisposable {
  readonly config: ITargetConfig;
  readonly executions: ExecutionLog;
  private readonly clock: Clock;
  private readonly random: RandomSource;
  private readonly service: LoopbackServer;
  private readonly control: LoopbackServer;
  private readonly queue: SlotQueue;
  private readonly silentSockets = new WeakSet<Socket>();
  private readonly responder: TargetResponder;
  private readonly probes: TargetProbes;
  private readonly counters: MutableTargetCounters = {
    executed: 0,
    finished: 0,
    cancelled: 0,
    timedOut: 0,
    shed: 0,
    failed: 0,
    truncated: 0,
    swallowed: 0,
    probes: 0,
    connectionsRefused: 0,
    connectionsOpened: 0,
    maxRunning: 0,
  };
  private faults: ITargetFaults;
  private coldUntilMs = 0;
  private lastBody: Uint8Array | undefined;

  constructor(options: ITargetStandInOptions = {}) {
    const { host = '127.0.0.1', port = 0, faults, executions, clock, ...config } = options;
    this.config = { ...DEFAULT_TARGET_CONFIG, ...config };
    this.faults = mergeFaults(NO_TARGET_FAULTS, faults ?? {});
    this.executions = executions ?? new ExecutionLog();
    this.clock = clock ?? new SystemClock();
    this.random = new SeededRandom(this.config.seed);
    this.queue = new SlotQueue(this.config.slots, this.config.queueLimit);
    this.responder = new TargetResponder({
      random: this.random,
      counters: this.counters,
      silentSockets: this.silentSockets,
      getFaults: () => this.faults,
    });
    this.probes = this.createProbes();
    this.service = new LoopbackServer({
      host,
      port,
      handle: (request, response) => this.handle(request, response),
      acceptConnection: (openConnections) => this.acceptConnection(openConnections),
    });
    this.control = new LoopbackServer({
      host,
      handle: (request, response) => handleTargetControl(this, request, response),
    });
  }

  async start(): Promise<void> {
    this.coldUntilMs = this.clock.getMonotonicTime() + this.config.coldStartMs;
    await this.control.open();
    await this.service.open();
    await this.setFaults({});
  }

  /** IP address and port for requests. */
  getAddress(): string {
    return this.service.getAddress();
  }

  /** IP address and port of `/control/*`. */
  getControlAddress(): string {
    return this.control.getAddress();
  }

  getFaults(): ITargetFaults {
    return this.faults;
  }

  getCounters(): ITargetCounters {
    return { ...this.counters };
  }

  getRunning(): number {
    return this.queue.getRunning();
  }

  /** Number of open connections for requests. */
  getConnectionCount(): number {
    return this.service.getSockets().size;
  }

  /** Replaces the given faults. A target that was down starts cold. */
  async setFaults(patch: Partial<ITargetFaults>): Promise<void> {
    const wasDown = this.faults.down;
    this.faults = mergeFaults(this.faults, patch);
    if (this.faults.down) await this.service.close();
    else await this.service.open();
    if (wasDown && !this.faults.down) {
      this.coldUntilMs = this.clock.getMonotonicTime() + this.config.coldStartMs;
    }
  }

  /** Clears all faults. Silenced connections stay silent. */
  clearFaults(): Promise<void> {
    return this.setFaults(NO_TARGET_FAULTS);
  }

  /**
   * Permanently silences all open connections: they stay open, but requests on them are not
   * executed and no response is sent. New connections work. Returns the number of connections.
   */
  markConnectionsSilent(): number {
    for (const socket of this.service.getSockets()) this.silentSockets.add(socket);
    return this.service.getSockets().size;
  }

  async dispose(): Promise<void> {
    await this.service.dispose();
    await this.control.dispose();
  }

  private createProbes(): TargetProbes {
    return new TargetProbes({
      responder: this.responder,
      counters: this.counters,
      executions: this.executions,
      slots: this.config.slots,
      getFaults: () => this.faults,
      getRunning: () => this.queue.getRunning(),
    });
  }

  private acceptConnection(openConnections: number): boolean {
    const isAccepted = openConnections < this.config.maxConnections;
    if (isAccepted) this.counters.connectionsOpened += 1;
    else this.counters.connectionsRefused += 1;
    return isAccepted;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.silentSockets.has(request.socket)) {
      this.counters.swallowed += 1;
      return;
    }
    const exchange = new Exchange(request, response);
    try {
      exchange.setBody(await readBody(request));
      if (!this.probes.handle(exchange)) await this.serve(exchange);
    } finally {
      exchange.dispose();
    }
  }

  /** Waits for a slot, executes the request and sends the response. */
  private async serve(exchange: Exchange): Promise<void> {
    if (this.faults.draining) {
      this.refuse(exchange, UNAVAILABLE);
      return;
    }
    this.executions.addWaiting(exchange.key, 1);
    const slot = await this.queue.waitForSlot(exchange.signal);
    this.executions.addWaiting(exchange.key, -1);
    if (slot === SlotOutcome.Full) this.refuse(exchange, UNAVAILABLE);
    if (slot === SlotOutcome.Aborted) this.refuse(exchange, TIMED_OUT);
    if (slot !== SlotOutcome.Acquired) return;
    try {
      await this.execute(exchange);
    } finally {
      this.queue.release();
    }
  }

  private async execute(exchange: Exchange): Promise<void> {
    this.counters.executed += 1;
    this.counters.maxRunning = Math.max(this.counters.maxRunning, this.queue.getRunning());
    const { key, requestId } = exchange;
    const target = this.getAddress();
    const execution = this.executions.start({ target, key, requestId, startedAtMs: Date.now() });
    try {
      await this.clock.sleep(this.getWorkMs(), exchange.signal);
    } catch {
      execution.stop();
      this.sendStopped(exchange);
      return;
    }
    const status = this.random.getFloat() < this.faults.failShare ? FAILED : OK;
    const body = this.makeResponseBody(exchange);
    execution.finish({ status, body });
    this.counters.finished += 1;
    if (status === FAILED) this.counters.failed += 1;
    if (this.random.getFloat() < this.faults.falseNotRunShare) {
      this.refuse(exchange, UNAVAILABLE);
      return;
    }
    const isForeign = this.random.getFloat() < this.faults.foreignShare;
    this.responder.sendResponse(exchange, status, isForeign ? (this.lastBody ?? body) : body);
    this.lastBody = body;
  }

  private getWorkMs(): number {
    const { meanServiceMs, serviceSigma, coldFactor } = this.config;
    const isCold = this.clock.getMonotonicTime() < this.coldUntilMs;
    const factor = this.faults.slowFactor * (isCold ? coldFactor : 1);
    return factor * sampleServiceTime(this.random, meanServiceMs, serviceSigma);
  }

  private makeResponseBody(exchange: Exchange): Buffer {
    return encodeResponseContent({
      member: this.config.member,
      service: this.config.service,
      target: this.getAddress(),
      requestId: exchange.requestId,
      method: exchange.method,
      path: exchange.path,
      requestChecksum: computeChecksum(exchange.body),
      filler: 'x'.repeat(this.config.answerBytes),
    });
  }

  /** Rejects a request that has not been executed. */
  private refuse(exchange: Exchange, status: number): void {
    this.counters.shed += 1;
    this.responder.sendStatus(exchange, status, { error: 'not run' }, NOT_RUN);
  }

  private sendStopped(exchange: Exchange): void {
    if (exchange.isCallerDisconnected()) {
      this.counters.cancelled += 1;
      return;
    }
    this.counters.timedOut += 1;
    this.responder.sendStatus(exchange, TIMED_OUT, { error: 'out of time while running' });
  }
}
