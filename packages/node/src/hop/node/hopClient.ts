/** The entry's side of the request hop. */
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
/** Longest silence in the middle of an answer, in ms. */
const BODY_TIMEOUT_MS = 30_000;
/** Longest wait for the first heartbeat. Loopback and one domain crossing take a few ms. */
const DEFAULT_FIRST_HEARTBEAT_MS = 400;
/** Missed heartbeats after which a home counts as lost. */
const MISSED_HEARTBEATS = 3;
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
  /** Absent: plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
  /** Connections to one peer. Default 64. */
  readonly connections?: number;
  /** Longest wait for a home's first heartbeat, in ms. Default 400. */
  readonly firstHeartbeatMs?: number;
}

/**
 * Sends requests to homes and tells, when no answer comes, whether the home may have them.
 *
 * @example
 * const answer = await client.send('127.0.0.2:7002', { request, memberRevision: 3 }, signal);
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
      const answer = await this.getPool(peer).request({
        method: 'POST',
        path: HOP_PATH,
        headers: toRawHeaders([
          [HopHeader.Exchange, exchange],
          ...this.createHeaders(peer, hop),
          ...hop.request.headers.map(toHopHeader),
        ]),
        body: hop.request.body,
        signal: watch.signal,
        // Without this, undici would give up on a home that waits for a slow target.
        headersTimeout: 0,
        bodyTimeout: BODY_TIMEOUT_MS,
        onInfo: () => {
          watch.recordHeartbeat();
        },
      });
      watch.recordHeartbeat();
      checkExchange(answer, exchange);
      return await this.readAnswer(answer, watch);
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

  /** Closes what leads to nodes that are not among `peers`: with every replaced VM one is left. */
  closeAbsent(peers: readonly string[]): void {
    const present = new Set(peers);
    for (const peer of this.pools.keys()) {
      if (!present.has(peer)) this.retireConnections(peer);
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

  private async readAnswer(
    answer: Dispatcher.ResponseData,
    watch: HeartbeatWatch,
  ): Promise<IResponse> {
    const code = answer.headers[HopHeader.Code];
    if (typeof code !== 'string') {
      await answer.body.dump();
      throw new HopError(HopFailure.Lost, `peer answered ${answer.statusCode} without a result`);
    }
    if (answer.headers[HopHeader.Kind] === HopKind.Refusal) {
      throw toRefusal(answer, await answer.body.text());
    }
    const isStreamed = answer.headers[HopHeader.Streamed] !== undefined;
    return {
      status: answer.statusCode,
      headers: listAnswerHeaders(answer),
      body: isStreamed ? streamBody(answer, watch) : await this.readWhole(answer),
      code: Number(code) as ResultCode,
      runState: (answer.headers[HopHeader.RunState] ?? RunState.MayHaveRun) as RunState,
    };
  }

  private async readWhole(answer: Dispatcher.ResponseData): Promise<Uint8Array> {
    const body = await answer.body.bytes();
    const declared = Number(answer.headers['content-length'] ?? body.length);
    if (declared !== body.length) throw new HopError(HopFailure.Lost, 'answer is not whole');
    return body;
  }
}

/**
 * Aborts the exchange when the home sends no heartbeat for too long. A paused or cut-off home
 * would otherwise keep the request until the caller's deadline, seen as timeouts of just the
 * services that have it for home.
 */
class HeartbeatWatch {
  private readonly abort = new AbortController();
  private readonly clock: Clock;
  readonly signal: AbortSignal;
  private timer: IDisposable;

  constructor(clock: Clock, firstHeartbeatMs: number, outer: AbortSignal) {
    this.clock = clock;
    this.signal = AbortSignal.any([this.abort.signal, outer]);
    this.timer = this.startTimer(firstHeartbeatMs);
  }

  recordHeartbeat(): void {
    this.stop();
    this.timer = this.startTimer(HEARTBEAT_MS * MISSED_HEARTBEATS);
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

/** The client would take `host` for the peer's name in TLS, and reconnect for each new one. */
function toHopHeader(header: Header): Header {
  return header[0] === 'host' ? [HopHeader.Host, header[1]] : header;
}

/**
 * HTTP/1.1 matches answers to requests by their order on a connection alone. Should the two ends
 * ever disagree on it, a caller would get another caller's answer; the echo shows it. A home of
 * an older version echoes nothing.
 */
function checkExchange(answer: Dispatcher.ResponseData, exchange: string): void {
  const echoed = answer.headers[HopHeader.Exchange];
  if (echoed === undefined || echoed === exchange) return;
  answer.body.on('error', () => undefined).destroy();
  throw new HopError(HopFailure.Lost, 'the answer belongs to another exchange');
}

function streamBody(
  answer: Dispatcher.ResponseData,
  watch: HeartbeatWatch,
): AsyncIterable<Uint8Array> {
  watch.stop();
  return watchBodyEnd(answer.body as AsyncIterable<Uint8Array>, () => {
    // Given up before its end: what is still to come must not stay on the connection.
    answer.body.on('error', () => undefined).destroy();
  });
}

function listAnswerHeaders(answer: Dispatcher.ResponseData): readonly Header[] {
  const headers: Header[] = [];
  for (const [name, value] of Object.entries(answer.headers)) {
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

function toRefusal(answer: Dispatcher.ResponseData, message: string): Error {
  const code = Number(answer.headers[HopHeader.Code]) as ResultCode;
  if (code === ResultCode.NodeLeaving) return new HopError(HopFailure.Leaving, message);
  if (code === ResultCode.PeerBehind) return new HopError(HopFailure.Behind, message);
  const retryAfter = answer.headers[HopHeader.RetryAfterMs];
  return new MuxError({
    code,
    message,
    runState: (answer.headers[HopHeader.RunState] ?? RunState.MayHaveRun) as RunState,
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
