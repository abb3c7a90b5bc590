/** Sends requests to targets over HTTP/1.1 with undici. */
import { randomBytes } from 'node:crypto';
import type { Clock, IDisposable } from '@parsleymux/base';
import { InvariantRegistry, MemoryBudget, SystemClock } from '@parsleymux/base';
import type { Dispatcher } from 'undici';
import type { Registry } from 'prom-client';
import { removeHopByHopHeaders } from '../common/hopHeaders.js';
import type { TargetProtocol } from '../common/targetProtocol.js';
import { MuxTargetProtocol } from '../common/targetProtocol.js';
import type { ISendOptions, ITargetResponse, ITargetRequest } from '../common/targetTransport.js';
import { TargetTransport, TransportError, TransportFailure } from '../common/targetTransport.js';
import { AttemptSignal } from './attemptSignal.js';
import { ConnectionPool } from './connectionPool.js';
import { Exchange } from './exchange.js';
import type { TargetConnection } from './targetConnection.js';
import { openConnection } from './targetConnection.js';
import type { TargetConnector } from './targetConnector.js';
import { TcpTargetConnector } from './targetConnector.js';
import { TransportMetrics } from './transportMetrics.js';

const DEFAULT_CONNECTION_LIMIT = 64;
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_STREAM_IDLE_MS = 30_000;
const ATTEMPT_PREFIX_BYTES = 8;

/** Options of an {@link HttpTargetTransport}. */
export interface IHttpTargetTransportOptions {
  /** Default: the system clock. */
  readonly clock?: Clock;
  readonly invariants?: InvariantRegistry;
  /** Default: TCP. */
  readonly connector?: TargetConnector;
  /** Header conventions of the targets. Default: the fleet's own headers. */
  readonly protocol?: TargetProtocol;
  /** Registry of the transport's metrics. Default: no metrics are kept. */
  readonly registry?: Registry;
  /**
   * Connections that this node may hold to a target: its share of the target's limit. Default 64.
   */
  readonly getConnectionLimit?: (member: string, target: string) => number;
  /** Maximum wait for a connection, in ms. Default 1000. */
  readonly connectTimeoutMs?: number;
  /**
   * Maximum time without data on a streamed response while its reader waits, in ms. Default 30000.
   */
  readonly streamIdleMs?: number;
  /** Maximum memory of all incomplete responses together, in bytes. Default: no limit. */
  readonly maxBufferedBytes?: number;
}

/**
 * Pools connections by member and target, and never resends a request.
 *
 * @example
 * const transport = new HttpTargetTransport({ getConnectionLimit: () => 100 });
 * const response = await transport.send(request, { signal, maxResponseBytes: 1_048_576 });
 */
export class HttpTargetTransport extends TargetTransport implements IDisposable {
  private readonly clock: Clock;
  private readonly connector: TargetConnector;
  private readonly invariants: InvariantRegistry;
  private readonly options: IHttpTargetTransportOptions;
  private readonly protocol: TargetProtocol;
  private readonly metrics: TransportMetrics;
  private readonly memory: MemoryBudget;
  /** By member, then target: a joined key could be ambiguous. */
  private readonly pools = new Map<string, Map<string, ConnectionPool>>();
  private readonly attemptPrefix = randomBytes(ATTEMPT_PREFIX_BYTES).toString('hex');
  private attempts = 0;

  constructor(options: IHttpTargetTransportOptions = {}) {
    super();
    this.options = options;
    this.clock = options.clock ?? new SystemClock();
    this.connector = options.connector ?? new TcpTargetConnector();
    this.invariants = options.invariants ?? new InvariantRegistry();
    this.protocol = options.protocol ?? new MuxTargetProtocol();
    this.memory = new MemoryBudget({ limitBytes: options.maxBufferedBytes ?? Infinity });
    this.metrics = new TransportMetrics(options.registry, () => this.listPools());
  }

  override async send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    const { clock } = this;
    const { timeoutMs } = request;
    const attempt = new AttemptSignal({ clock, callerSignal: options.signal, timeoutMs });
    try {
      const response = await this.runAttempt(request, options, attempt);
      this.metrics.recordExchange('answered');
      return response;
    } catch (error) {
      attempt.dispose();
      if (error instanceof TransportError) this.metrics.recordExchange(error.failure);
      throw error;
    }
  }

  override retireConnections(member: string, target: string): void {
    this.metrics.recordRetirement();
    this.pools.get(member)?.get(target)?.retire();
  }

  /** Excludes all connections opened until now from further requests. */
  retireAllConnections(): void {
    for (const { pool } of this.listPools()) pool.retire();
  }

  /** Opens a connection to a target and closes it; resolves with whether it was opened in time. */
  async tryConnect(target: string): Promise<boolean> {
    const { connector } = this;
    const timeout = new AbortController();
    const limitMs = this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const timer = this.clock.startTimer(limitMs, () => {
      timeout.abort();
    });
    try {
      const { signal } = timeout;
      const connection = await openConnection({ target, connector, generation: 0, signal });
      this.metrics.recordOpened();
      connection.dispose();
      return true;
    } catch {
      return false;
    } finally {
      void timer.dispose();
    }
  }

  override hasIdleConnection(member: string, target: string): boolean {
    return (this.pools.get(member)?.get(target)?.idleCount ?? 0) > 0;
  }

  override getConnectionCount(member: string, target: string): number {
    return this.pools.get(member)?.get(target)?.size ?? 0;
  }

  /** Memory of incomplete responses, in bytes. */
  get bufferedBytes(): number {
    return this.memory.usedBytes;
  }

  dispose(): void {
    for (const { pool } of this.listPools()) pool.dispose();
    this.pools.clear();
  }

  private async runAttempt(
    request: ITargetRequest,
    options: ISendOptions,
    attempt: AttemptSignal,
  ): Promise<ITargetResponse> {
    const pool = this.getPool(request.member, request.target);
    const connection = await this.takeConnection(pool, options, attempt);
    // After a pause of the process, the deadline may have passed before its timers fire. A request
    // sent now would run after its caller, or an operator, has considered it not run.
    if (attempt.isOverdue()) {
      pool.release(connection);
      throw makeUnsentError(TransportFailure.Timeout);
    }
    const { protocol } = this;
    const attemptId = `${this.attemptPrefix}-${this.attempts++}`;
    const correlation = protocol.getCorrelation(request.headers, attemptId);
    const exchange = new Exchange({
      connection,
      request: makeDispatchOptions(
        request,
        protocol,
        correlation,
        computeTargetTimeoutMs(request, attempt),
      ),
      protocol,
      correlation,
      attempt,
      clock: this.clock,
      invariants: this.invariants,
      memory: this.memory,
      maxResponseBytes: options.maxResponseBytes,
      streamLarge: options.streamLarge ?? false,
      streamIdleMs: this.options.streamIdleMs ?? DEFAULT_STREAM_IDLE_MS,
      onComplete: () => {
        pool.release(connection);
      },
      onEnd: () => {
        attempt.dispose();
      },
    });
    options.onDispatch?.();
    return exchange.run();
  }

  private async takeConnection(
    pool: ConnectionPool,
    options: ISendOptions,
    attempt: AttemptSignal,
  ): Promise<TargetConnection> {
    const connectAbort = new AbortController();
    const limitMs = this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const timer = this.clock.startTimer(limitMs, () => {
      connectAbort.abort();
    });
    const signal = AbortSignal.any([attempt.signal, connectAbort.signal]);
    try {
      const connection = await pool.take({ fresh: options.freshConnection ?? false, signal });
      if (!attempt.signal.aborted) return connection;
      pool.release(connection);
      throw makeUnsentError(attempt.failure);
    } catch (error) {
      if (attempt.signal.aborted) throw makeUnsentError(attempt.failure, error);
      throw error;
    } finally {
      void timer.dispose();
    }
  }

  private getPool(member: string, target: string): ConnectionPool {
    let pools = this.pools.get(member);
    if (pools === undefined) {
      pools = new Map();
      this.pools.set(member, pools);
    }
    let pool = pools.get(target);
    if (pool === undefined) {
      pool = new ConnectionPool({
        target,
        connector: this.connector,
        getLimit: () => this.getLimit(member, target),
        onDidOpen: () => {
          this.metrics.recordOpened();
        },
        onDidEmpty: () => {
          this.removePool(member, target);
        },
      });
      pools.set(target, pool);
    }
    return pool;
  }

  /**
   * Removes an unused pool: targets and members change for as long as a node runs, so that unused
   * pools would accumulate.
   */
  private removePool(member: string, target: string): void {
    const pools = this.pools.get(member);
    pools?.delete(target);
    if (pools?.size === 0) this.pools.delete(member);
  }

  private getLimit(member: string, target: string): number {
    return this.options.getConnectionLimit?.(member, target) ?? DEFAULT_CONNECTION_LIMIT;
  }

  private listPools() {
    return [...this.pools].flatMap(([member, pools]) => {
      return [...pools].map(([target, pool]) => ({ member, target, pool }));
    });
  }
}

/** Remaining time that is sent to the target, in ms. */
function computeTargetTimeoutMs(request: ITargetRequest, attempt: AttemptSignal): number {
  const marginMs = request.timeoutMs - (request.targetTimeoutMs ?? request.timeoutMs);
  return Math.max(1, Math.floor(attempt.remainingMs - marginMs));
}

function makeUnsentError(failure: TransportFailure, cause?: unknown): TransportError {
  return new TransportError({ failure, mayHaveRun: false, reusedConnection: false, cause });
}

function makeDispatchOptions(
  request: ITargetRequest,
  protocol: TargetProtocol,
  correlation: string,
  remainingMs: number,
): Dispatcher.DispatchOptions {
  const { timeoutHeader, correlationHeader } = protocol;
  const replacedNames: ReadonlySet<string> = new Set([timeoutHeader, correlationHeader]);
  const headers = removeHopByHopHeaders(request.headers)
    .filter(([name]) => name !== 'content-length' && !replacedNames.has(name))
    .flat();
  headers.push(timeoutHeader, String(remainingMs), correlationHeader, correlation);
  return {
    method: request.method,
    path: request.path,
    headers,
    body: request.body.byteLength === 0 ? null : request.body,
    // undici may resend idempotent requests; no request may be resent, whatever its method.
    idempotent: false,
  };
}
