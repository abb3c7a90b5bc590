/** Client of the request hop, used by the entry. */
import { randomBytes } from 'node:crypto';
import type { Clock, IDisposable } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { PeerAuthenticator } from '@parsleymux/fleet';
import { PROOF_HEADER } from '@parsleymux/fleet';
import type { Header, IResponse } from '@parsleymux/routing';
import { watchBodyEnd } from '@parsleymux/routing';
import type { Dispatcher } from 'undici';
import { Pool } from 'undici';
import type { TlsFilesWatcher } from '../../tls/node/tlsFilesWatcher.js';
import { toRawHeaders } from '../../http/common/headers.js';
import { HopError, HopFailure } from '../common/hopError.js';
import { HEARTBEAT_MS, HOP_PATH, HopHeader, HopKind } from '../common/hopProtocol.js';
import type { IHopRequest } from '../common/hopTransport.js';
import { HopTransport } from '../common/hopTransport.js';

const DEFAULT_CONNECTIONS = 64;
const EXCHANGE_PREFIX_BYTES = 8;
/** Maximum pause within a response body, in ms. */
const BODY_TIMEOUT_MS = 30_000;
/** Maximum wait for the first heartbeat. Loopback and a path between two failure domains take a few ms. */
const DEFAULT_FIRST_HEARTBEAT_MS = 400;
/** Missed heartbeats after which the home is considered lost. */
const MAX_MISSED_HEARTBEATS = 3;
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Options of a {@link HopClient}. */
export interface IHopClientOptions {
  readonly clock: Clock;
  readonly authenticator: PeerAuthenticator;
  /** When absent, the client uses plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
  /** Maximum number of connections to one peer. Default 64. */
  readonly connections?: number;
  /** Maximum wait for a home's first heartbeat, in ms. Default 400. */
  readonly firstHeartbeatMs?: number;
}

/**
 * Sends requests to homes and reports, when there is no response, whether the home may have received them.
 *
 * @example
 * const response = await client.send('127.0.0.2:7002', { request, memberRevision: 3 }, signal);
 */
export class HopClient extends HopTransport implements IDisposable {
  private readonly clock: Clock;
  private readonly authenticator: PeerAuthenticator;
  private readonly tls: TlsFilesWatcher | undefined;
  private readonly connections: number;
  private readonly firstHeartbeatMs: number;
  private readonly pools = new Map<string, Pool>();
  private readonly exchangePrefix = randomBytes(EXCHANGE_PREFIX_BYTES).toString('hex');
  private exchanges = 0;

  constructor(options: IHopClientOptions) {
    super();
    this.clock = options.clock;
    this.authenticator = options.authenticator;
    this.tls = options.tls;
    this.connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.firstHeartbeatMs = options.firstHeartbeatMs ?? DEFAULT_FIRST_HEARTBEAT_MS;
  }

  override async send(peer: string, hop: IHopRequest, signal: AbortSignal): Promise<IResponse> {
    const watch = new HeartbeatWatch(this.clock, this.firstHeartbeatMs, signal);
    const exchange = `${this.exchangePrefix}-${this.exchanges++}`;
    try {
      const response = await this.getPool(peer).request({
        method: 'POST',
        path: HOP_PATH,
        headers: toRawHeaders([
          [HopHeader.Exchange, exchange],
          ...this.createHeaders(peer, hop),
          ...hop.request.headers.map(toHopHeader),
        ]),
        body: hop.request.body,
        signal: watch.signal,
        // Otherwise undici would abort the request to a home that waits for a slow target.
        headersTimeout: 0,
        bodyTimeout: BODY_TIMEOUT_MS,
        onInfo: () => {
          watch.recordHeartbeat();
        },
      });
      watch.recordHeartbeat();
      checkExchange(response, exchange);
      return await this.readResponse(response, watch);
    } catch (error) {
      throw toHopError(error, signal);
    } finally {
      watch.stop();
    }
  }

  override retireConnections(peer: string): void {
    const pool = this.pools.get(peer);
    if (pool === undefined) return;
    this.pools.delete(peer);
    void pool.close();
  }

  /** Closes the pools of nodes that are not among `peers`; each replaced VM leaves one behind. */
  closeRemovedPeers(peers: readonly string[]): void {
    const listed = new Set(peers);
    for (const peer of this.pools.keys()) {
      if (!listed.has(peer)) this.retireConnections(peer);
    }
  }

  async dispose(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private getPool(peer: string): Pool {
    const existing = this.pools.get(peer);
    if (existing !== undefined) return existing;
    const scheme = this.tls === undefined ? 'http' : 'https';
    const pool = new Pool(`${scheme}://${peer}`, {
      connections: this.connections,
      connect: { timeout: this.firstHeartbeatMs, ...this.tls?.getMaterial() },
    });
    this.pools.set(peer, pool);
    return pool;
  }

  private createHeaders(peer: string, hop: IHopRequest): readonly Header[] {
    const { request } = hop;
    const timeLeftMs = Math.floor(request.deadlineMs - this.clock.getMonotonicTime());
    const headers: Header[] = [
      [HopHeader.Member, request.member],
      [HopHeader.Route, request.route.name],
      [HopHeader.Method, request.method],
      [HopHeader.Path, request.path],
      [HopHeader.Caller, request.caller],
      [HopHeader.TimeLeft, String(timeLeftMs)],
      [HopHeader.MemberRevision, String(hop.memberRevision)],
    ];
    const proof = this.authenticator.makeProof(peer, HOP_PATH);
    if (proof !== undefined) headers.push([PROOF_HEADER, proof]);
    if (request.idempotencyKey !== undefined) {
      headers.push([HopHeader.Key, encodeURIComponent(request.idempotencyKey)]);
    }
    return headers;
  }

  private async readResponse(
    response: Dispatcher.ResponseData,
    watch: HeartbeatWatch,
  ): Promise<IResponse> {
    const code = response.headers[HopHeader.Code];
    if (typeof code !== 'string') {
      await response.body.dump();
      throw new HopError(
        HopFailure.Lost,
        `peer responded ${response.statusCode} without a result code`,
      );
    }
    if (response.headers[HopHeader.Kind] === HopKind.Refusal) {
      throw toRefusal(response, await response.body.text());
    }
    const isStreamed = response.headers[HopHeader.Streamed] !== undefined;
    return {
      status: response.statusCode,
      headers: listResponseHeaders(response),
      body: isStreamed ? streamBody(response, watch) : await this.readComplete(response),
      code: Number(code) as ResultCode,
      runState: (response.headers[HopHeader.RunState] ?? RunState.MayHaveRun) as RunState,
    };
  }

  private async readComplete(response: Dispatcher.ResponseData): Promise<Uint8Array> {
    const body = await response.body.bytes();
    const declared = Number(response.headers['content-length'] ?? body.length);
    if (declared !== body.length) throw new HopError(HopFailure.Lost, 'the response is incomplete');
    return body;
  }
}

/**
 * Aborts the exchange when the home sends no heartbeat for too long. Otherwise a request to a paused or
 * partitioned home would wait until the caller's deadline, and the services of this home would time out.
 */
class HeartbeatWatch {
  private readonly abort = new AbortController();
  private readonly clock: Clock;
  readonly signal: AbortSignal;
  private timer: IDisposable;

  constructor(clock: Clock, firstHeartbeatMs: number, callerSignal: AbortSignal) {
    this.clock = clock;
    this.signal = AbortSignal.any([this.abort.signal, callerSignal]);
    this.timer = this.startTimer(firstHeartbeatMs);
  }

  recordHeartbeat(): void {
    this.stop();
    this.timer = this.startTimer(HEARTBEAT_MS * MAX_MISSED_HEARTBEATS);
  }

  stop(): void {
    void this.timer.dispose();
  }

  private startTimer(delayMs: number): IDisposable {
    return this.clock.startTimer(delayMs, () => {
      this.abort.abort(new HopError(HopFailure.Lost, 'no heartbeat from the peer'));
    });
  }
}

/** The client would use `host` as the peer's server name in TLS, and reconnect for each new value. */
function toHopHeader(header: Header): Header {
  return header[0] === 'host' ? [HopHeader.Host, header[1]] : header;
}

/**
 * HTTP/1.1 matches responses to requests only by their order on a connection. If the two ends disagreed
 * about the order, a caller would get another caller's response; the echoed identifier detects this.
 * Homes of older versions echo nothing.
 */
function checkExchange(response: Dispatcher.ResponseData, exchange: string): void {
  const echoed = response.headers[HopHeader.Exchange];
  if (echoed === undefined || echoed === exchange) return;
  response.body.on('error', () => undefined).destroy();
  throw new HopError(HopFailure.Lost, 'the response belongs to another exchange');
}

function streamBody(
  response: Dispatcher.ResponseData,
  watch: HeartbeatWatch,
): AsyncIterable<Uint8Array> {
  watch.stop();
  return watchBodyEnd(response.body as AsyncIterable<Uint8Array>, () => {
    // The body was abandoned before its end: its rest must not stay on the connection.
    response.body.on('error', () => undefined).destroy();
  });
}

function listResponseHeaders(response: Dispatcher.ResponseData): readonly Header[] {
  const headers: Header[] = [];
  for (const [name, value] of Object.entries(response.headers)) {
    if (value === undefined || name.startsWith('parsleymux-hop-')) continue;
    if (CONNECTION_HEADERS.has(name)) continue;
    for (const single of Array.isArray(value) ? value : [value]) {
      headers.push([name, single]);
    }
  }
  return headers;
}

const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

function toRefusal(response: Dispatcher.ResponseData, message: string): Error {
  const code = Number(response.headers[HopHeader.Code]) as ResultCode;
  if (code === ResultCode.NodeLeaving) return new HopError(HopFailure.ShuttingDown, message);
  if (code === ResultCode.PeerBehind) return new HopError(HopFailure.Behind, message);
  const retryAfter = response.headers[HopHeader.RetryAfterMs];
  return new MuxError({
    code,
    message,
    runState: (response.headers[HopHeader.RunState] ?? RunState.MayHaveRun) as RunState,
    ...(typeof retryAfter === 'string' ? { retryAfterMs: Number(retryAfter) } : {}),
  });
}

function toHopError(error: unknown, signal: AbortSignal): unknown {
  if (error instanceof MuxError || error instanceof HopError) return error;
  if (signal.aborted) return signal.reason;
  const code = (error as { readonly code?: unknown }).code;
  const isNotSent = typeof code === 'string' && NOT_SENT_CODES.has(code);
  const failure = isNotSent ? HopFailure.NotDelivered : HopFailure.Lost;
  return new HopError(failure, 'exchange with the peer failed', error);
}
