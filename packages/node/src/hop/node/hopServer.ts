/** Server of the request hop, used by the home. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, IDisposable, MuxError } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { Header, HomeService, IResponse, IRoutedRequest } from '@parsleymux/routing';
import type { Route } from '@parsleymux/schema';
import type { NodeState } from '../../app/common/nodeState.js';
import { listEndToEndHeaders } from '../../http/common/headers.js';
import { readBody } from '../../http/node/bodyReader.js';
import { createDisconnectSignal } from '../../http/node/disconnectSignal.js';
import { waitForEnd, writeResponse } from '../../http/node/bodyWriter.js';
import { createRefusal, toMuxError } from '../../http/common/refusal.js';
import { HEARTBEAT_MS, HopHeader, HopKind } from '../common/hopProtocol.js';

const OK = 200;

/** Options of a {@link HopServer}. */
export interface IHopServerOptions {
  readonly clock: Clock;
  readonly config: ConfigService;
  readonly home: HomeService;
  readonly state: NodeState;
  /** Whether the configuration of this node may be out of date. */
  readonly isStale: () => boolean;
  readonly maxBodyBytes: number;
}

/**
 * Serves requests that other nodes forward to this node as their home.
 *
 * @example
 * await hopServer.handle(request, response);
 */
export class HopServer {
  private readonly options: IHopServerOptions;

  constructor(options: IHopServerOptions) {
    this.options = options;
  }

  /** Serves one request of an authenticated peer. Never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const finish = this.options.state.startRequest();
    const heartbeat = new Heartbeat(this.options.clock, response);
    const signal = createDisconnectSignal(response, 'the entry disconnected');
    try {
      const routed = await this.readRequest(request);
      const homeResponse = await this.options.home.handle(routed, signal);
      heartbeat.stop();
      await writeHomeResponse(response, homeResponse, listEchoHeaders(request));
    } catch (error) {
      heartbeat.stop();
      await writeRefusal(response, toMuxError(error), listEchoHeaders(request));
    } finally {
      heartbeat.stop();
      await waitForEnd(response);
      finish();
    }
  }

  private async readRequest(request: IncomingMessage): Promise<IRoutedRequest> {
    if (this.options.state.isShuttingDown()) throw createNotAccepted(ResultCode.NodeLeaving);
    // After a pause, a home finds requests in its sockets that are as old as the pause. It would serve
    // them with a configuration of the same age, and removed targets would get new requests.
    if (this.options.isStale()) throw createNotAccepted(ResultCode.PeerBehind);
    const member = getHeader(request, HopHeader.Member);
    const route = this.findRoute(request, member);
    const key = request.headers[HopHeader.Key];
    const timeLeftMs = Number(getHeader(request, HopHeader.TimeLeft));
    const deadlineMs = this.options.clock.getMonotonicTime() + timeLeftMs;
    return {
      member,
      route,
      method: getHeader(request, HopHeader.Method),
      path: getHeader(request, HopHeader.Path),
      headers: listCallerHeaders(request),
      body: await this.readBody(request),
      deadlineMs,
      caller: getHeader(request, HopHeader.Caller),
      idempotencyKey: typeof key === 'string' ? decodeURIComponent(key) : undefined,
    };
  }

  /** Without a deadline: the entry cancels a request that its caller no longer waits for. */
  private readBody(request: IncomingMessage): Promise<Uint8Array> {
    const { clock, maxBodyBytes: maxBytes } = this.options;
    return readBody(request, { clock, maxBytes, deadlineMs: Infinity });
  }

  private findRoute(request: IncomingMessage, member: string): Route {
    const memberConfig = this.options.config.getCurrent().members.get(member);
    const entryRevision = Number(getHeader(request, HopHeader.MemberRevision));
    const localRevision = Number(memberConfig?.memberRevision ?? 0);
    // A home that missed a change would send requests to targets that a confirmed plan removed. The
    // entry's newer revision reveals this; refusing lets the entry try a home that is up to date.
    if (localRevision < entryRevision) throw createNotAccepted(ResultCode.PeerBehind);
    const name = getHeader(request, HopHeader.Route);
    const route = memberConfig?.intent?.routes.find((candidate) => candidate.name === name);
    if (route === undefined) throw createNotAccepted(ResultCode.UnknownRoute);
    return route;
  }
}

/** Lists the caller's headers, with the caller's Host instead of this node's name. */
function listCallerHeaders(request: IncomingMessage): readonly Header[] {
  const headers = listEndToEndHeaders(request.rawHeaders).filter(([name]) => name !== 'host');
  const host = request.headers[HopHeader.Host];
  return typeof host === 'string' ? [['host', host], ...headers] : headers;
}

/** Sends heartbeats to the entry, the first immediately, until the home responds. */
class Heartbeat {
  private timer: IDisposable | undefined;
  private isStopped = false;
  private readonly clock: Clock;
  private readonly response: ServerResponse;

  constructor(clock: Clock, response: ServerResponse) {
    this.clock = clock;
    this.response = response;
    this.sendHeartbeat();
  }

  stop(): void {
    this.isStopped = true;
    void this.timer?.dispose();
  }

  private sendHeartbeat(): void {
    if (this.isStopped || this.response.headersSent || this.response.destroyed) return;
    this.response.writeProcessing();
    this.timer = this.clock.startTimer(HEARTBEAT_MS, () => {
      this.sendHeartbeat();
    });
  }
}

/** Lists the header with the identifier of the exchange, which the entry checks on the response. */
function listEchoHeaders(request: IncomingMessage): readonly Header[] {
  const exchange = request.headers[HopHeader.Exchange];
  return typeof exchange === 'string' ? [[HopHeader.Exchange, exchange]] : [];
}

async function writeHomeResponse(
  response: ServerResponse,
  homeResponse: IResponse,
  echo: readonly Header[],
): Promise<void> {
  const headers: Header[] = [
    ...echo,
    ...homeResponse.headers.filter(([name]) => name !== 'content-length'),
    [HopHeader.Code, String(homeResponse.code)],
    [HopHeader.RunState, homeResponse.runState],
    [HopHeader.Kind, HopKind.Response],
  ];
  if (!(homeResponse.body instanceof Uint8Array)) {
    headers.push([HopHeader.Streamed, '1']);
    // The entry's HTTP client fails an assertion when the connection of a paused response with
    // "connection: close" breaks (see PausableSocket), so streamed responses never have that header.
    headers.push(['connection', 'keep-alive']);
  }
  await writeResponse(response, { status: homeResponse.status, headers, body: homeResponse.body });
}

async function writeRefusal(
  response: ServerResponse,
  refusal: MuxError,
  echo: readonly Header[],
): Promise<void> {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const headers: Header[] = [
    ...echo,
    [HopHeader.Code, String(refusal.code)],
    [HopHeader.RunState, refusal.runState],
    [HopHeader.Kind, HopKind.Refusal],
  ];
  if (refusal.retryAfterMs !== undefined) {
    headers.push([HopHeader.RetryAfterMs, String(Math.ceil(refusal.retryAfterMs))]);
  }
  const body = Buffer.from(refusal.message);
  await writeResponse(response, { status: OK, headers, body });
}

function createNotAccepted(code: ResultCode): MuxError {
  return createRefusal(code, 'not taken by this node');
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  if (typeof value === 'string') return value;
  throw createRefusal(ResultCode.MalformedRequest, `header ${name} is missing`);
}
