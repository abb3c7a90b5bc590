/** The home's side of the request hop. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, IDisposable, MuxError } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { Header, HomeService, IResponse, IRoutedRequest } from '@parsleymux/routing';
import type { Route } from '@parsleymux/schema';
import type { NodeState } from '../../app/common/nodeState.js';
import { listEndToEndHeaders } from '../../http/common/headers.js';
import { readBody } from '../../http/node/bodyReader.js';
import { createHangUpSignal } from '../../http/node/hangUpSignal.js';
import { waitForEnd, writeAnswer } from '../../http/node/bodyWriter.js';
import { createRefusal, toMuxError } from '../../http/common/refusal.js';
import { HEARTBEAT_MS, HopHeader, HopKind } from '../common/hopProtocol.js';

const OK = 200;

/** Options of a {@link HopServer}. */
export interface IHopServerOptions {
  readonly clock: Clock;
  readonly config: ConfigService;
  readonly home: HomeService;
  readonly state: NodeState;
  /** Whether word of the configuration is late. */
  readonly isStale: () => boolean;
  readonly maxBodyBytes: number;
}

/**
 * Serves requests that other nodes forward to this one as home.
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
    const signal = createHangUpSignal(response, 'the entry hung up');
    try {
      const routed = await this.readRequest(request);
      const answer = await this.options.home.handle(routed, signal);
      heartbeat.stop();
      await writeHomeAnswer(response, answer, listEcho(request));
    } catch (error) {
      heartbeat.stop();
      await writeRefusal(response, toMuxError(error), listEcho(request));
    } finally {
      heartbeat.stop();
      await waitForEnd(response);
      finish();
    }
  }

  private async readRequest(request: IncomingMessage): Promise<IRoutedRequest> {
    if (this.options.state.isLeaving()) throw createNotTaken(ResultCode.NodeLeaving);
    // A home that was paused finds requests in its sockets that are as old as the pause, and would
    // serve them by a configuration of that age: targets that have left would get new work.
    if (this.options.isStale()) throw createNotTaken(ResultCode.PeerBehind);
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
      body: await readBody(request, this.options.maxBodyBytes),
      deadlineMs,
      caller: getHeader(request, HopHeader.Caller),
      idempotencyKey: typeof key === 'string' ? decodeURIComponent(key) : undefined,
    };
  }

  private findRoute(request: IncomingMessage, member: string): Route {
    const memberConfig = this.options.config.getCurrent().members.get(member);
    const entryRevision = Number(getHeader(request, HopHeader.MemberRevision));
    const ownRevision = Number(memberConfig?.memberRevision ?? 0);
    // A home that missed a change would send work to targets that a confirmed plan took away.
    // The entry's newer revision shows it; refusing lets the entry go to a home that is current.
    if (ownRevision < entryRevision) throw createNotTaken(ResultCode.PeerBehind);
    const name = getHeader(request, HopHeader.Route);
    const route = memberConfig?.intent?.routes.find((candidate) => candidate.name === name);
    if (route === undefined) throw createNotTaken(ResultCode.UnknownRoute);
    return route;
  }
}

/** The caller's headers, with its own Host in the place of this node's name. */
function listCallerHeaders(request: IncomingMessage): readonly Header[] {
  const headers = listEndToEndHeaders(request.rawHeaders).filter(([name]) => name !== 'host');
  const host = request.headers[HopHeader.Host];
  return typeof host === 'string' ? [['host', host], ...headers] : headers;
}

/** Tells the entry at once, and again from time to time, that the home is alive and working. */
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

/** The identifier of the exchange, which the entry looks for on the answer. */
function listEcho(request: IncomingMessage): readonly Header[] {
  const exchange = request.headers[HopHeader.Exchange];
  return typeof exchange === 'string' ? [[HopHeader.Exchange, exchange]] : [];
}

async function writeHomeAnswer(
  response: ServerResponse,
  answer: IResponse,
  echo: readonly Header[],
): Promise<void> {
  const headers: Header[] = [
    ...echo,
    ...answer.headers.filter(([name]) => name !== 'content-length'),
    [HopHeader.Code, String(answer.code)],
    [HopHeader.RunState, answer.runState],
    [HopHeader.Kind, HopKind.Answer],
  ];
  if (!(answer.body instanceof Uint8Array)) {
    headers.push([HopHeader.Streamed, '1']);
    // The entry's HTTP client fails an assertion when a paused answer marked "close" breaks off
    // (see PausableSocket); an answer that is streamed therefore never carries that mark.
    headers.push(['connection', 'keep-alive']);
  }
  await writeAnswer(response, { status: answer.status, headers, body: answer.body });
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
  await writeAnswer(response, { status: OK, headers, body });
}

function createNotTaken(code: ResultCode): MuxError {
  return createRefusal(code, 'not taken by this node');
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  if (typeof value === 'string') return value;
  throw createRefusal(ResultCode.MalformedRequest, `header ${name} is missing`);
}
