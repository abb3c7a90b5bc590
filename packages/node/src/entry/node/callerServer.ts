/** The port on which callers are served. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Clock, IDisposable } from '@parsleymux/base';
import { getResultInfo, MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ConfigService, IRouteMatch } from '@parsleymux/config';
import { RouteTable } from '@parsleymux/config';
import type { Header, IAnswer, IRoutedRequest } from '@parsleymux/routing';
import type { Limits, Timing } from '@parsleymux/schema';
import type { NodeState } from '../../app/common/nodeState.js';
import { HeaderName, listEndToEndHeaders } from '../../http/common/headers.js';
import type { IRefusalBody } from '../../http/common/refusal.js';
import { toMuxError } from '../../http/common/refusal.js';
import { readBody } from '../../http/node/bodyReader.js';
import { waitForEnd, writeAnswer } from '../../http/node/bodyWriter.js';
import { closeServer, listenOn } from '../../http/node/listener.js';
import type { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import { findRoute, parseHost, parseKey, parseTimeout } from '../common/callerRequest.js';
import type { HomeRouter } from '../common/homeRouter.js';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_MS = 65_000;
const MS_PER_SECOND = 1000;
/** Faults and overload pass; what the request itself got wrong does not. */
const FIRST_PASSING_STATUS = 500;
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Options of a {@link CallerServer}. */
export interface ICallerServerOptions {
  readonly clock: Clock;
  readonly config: ConfigService;
  readonly router: HomeRouter;
  readonly state: NodeState;
  readonly metrics: NodeMetrics;
  readonly limits: Limits;
  readonly timing: Timing;
  /** Whether the node must not take new work now: cut off from store and peers for too long. */
  readonly isIsolated: () => boolean;
}

/**
 * Accepts callers' requests and gives each its own whole answer or a numbered refusal.
 *
 * @example
 * const server = new CallerServer(options);
 * const address = await server.listen('127.0.0.1:0');
 */
export class CallerServer implements IDisposable {
  private readonly options: ICallerServerOptions;
  private readonly server: Server;
  private readonly configSubscription: IDisposable;
  private table: RouteTable;

  constructor(options: ICallerServerOptions) {
    this.options = options;
    this.table = new RouteTable(options.config.getCurrent());
    this.configSubscription = options.config.onDidChange(({ config }) => {
      this.table = new RouteTable(config);
    });
    this.server = createServer(
      {
        maxHeaderSize: options.limits.headerBytes,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
      },
      (request, response) => {
        void this.serve(request, response);
      },
    );
    this.server.maxConnections = options.limits.callerConnections;
    this.server.on('clientError', (error, socket) => {
      this.refuseMalformed(error, socket);
    });
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops accepting; resolves when every connection has ended. */
  async dispose(): Promise<void> {
    await this.configSubscription.dispose();
    await closeServer(this.server);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedMs = this.options.clock.getMonotonicTime();
    const finish = this.options.state.startRequest();
    const abort = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) abort.abort(new Error('the caller hung up'));
    });
    let match: IRouteMatch | undefined;
    let code: ResultCode = ResultCode.Ok;
    try {
      match = this.acceptRequest(request);
      const routed = await this.readRequest(request, match, startedMs);
      const answer = await this.options.router.serve(routed, abort.signal);
      code = answer.code;
      await this.writeAnswer(request, response, answer);
    } catch (error) {
      const refusal = abort.signal.aborted ? createCallerGone(error) : toMuxError(error);
      code = refusal.code;
      if (code === ResultCode.Internal) this.options.metrics.recordInternalError(refusal);
      await this.writeRefusal(request, response, refusal);
    } finally {
      await waitForEnd(response);
      finish();
      const durationMs = this.options.clock.getMonotonicTime() - startedMs;
      this.options.metrics.recordRequest({
        member: match?.member ?? '',
        service: match?.route.service ?? '',
        code,
        durationMs,
      });
    }
  }

  private acceptRequest(request: IncomingMessage): IRouteMatch {
    if (this.options.isIsolated()) {
      throw new MuxError({
        code: ResultCode.NodeIsolated,
        message: 'this node is cut off from the rest of the fleet',
        runState: RunState.NotRun,
        retryAfterMs: MS_PER_SECOND,
      });
    }
    const host = parseHost(request.headers.host);
    return findRoute(this.table, host, request.url ?? '/', request.method ?? 'GET');
  }

  private async readRequest(
    request: IncomingMessage,
    match: IRouteMatch,
    startedMs: number,
  ): Promise<IRoutedRequest> {
    const { member, route } = match;
    const timeout = request.headers[HeaderName.TimeoutMs];
    const timeoutMs = parseTimeout(
      typeof timeout === 'string' ? timeout : undefined,
      route,
      this.options.timing.defaultDeadlineMs,
    );
    const idempotencyKey = parseKey(request.headers[route.keyHeader], route);
    return {
      member,
      route,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: listEndToEndHeaders(request.rawHeaders),
      body: await readBody(request, this.options.limits.requestBodyBytes),
      deadlineMs: startedMs + timeoutMs,
      caller: getCaller(request),
      idempotencyKey,
    };
  }

  private async writeAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    answer: IAnswer,
  ): Promise<void> {
    const headers: Header[] = [
      ...answer.headers,
      [HeaderName.Result, String(answer.code)],
      [HeaderName.RunState, answer.runState],
      ...this.listClosingHeaders(),
    ];
    const isHead = request.method === 'HEAD';
    await writeAnswer(response, { status: answer.status, headers, body: answer.body, isHead });
  }

  private async writeRefusal(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: MuxError,
  ): Promise<void> {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const headers: Header[] = [...listRefusalHeaders(refusal), ...this.listClosingHeaders()];
    // The rest of a body that was refused would be read as the next request.
    if (hasUnreadBody(request)) headers.push(['connection', 'close']);
    const status = getResultInfo(refusal.code).httpStatus;
    const body = Buffer.from(JSON.stringify(createRefusalBody(refusal)));
    await writeAnswer(response, { status, headers, body, isHead: request.method === 'HEAD' });
  }

  /** A node that leaves asks callers to come back on another connection, hence another node. */
  private listClosingHeaders(): readonly Header[] {
    return this.options.state.isLeaving() ? [['connection', 'close']] : [];
  }

  private refuseMalformed(error: Error, socket: Duplex): void {
    const isTooLarge = (error as { readonly code?: unknown }).code === 'HPE_HEADER_OVERFLOW';
    const code = isTooLarge ? ResultCode.HeadersTooLarge : ResultCode.MalformedRequest;
    this.options.metrics.recordRequest({ member: '', service: '', code, durationMs: 0 });
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const message = isTooLarge ? 'the headers are too large' : 'the request is not valid HTTP/1.1';
    const refusal = new MuxError({ code, message, runState: RunState.NotRun });
    const body = JSON.stringify(createRefusalBody(refusal));
    const headers: Header[] = [
      ...listRefusalHeaders(refusal),
      ['content-length', String(Buffer.byteLength(body))],
      ['connection', 'close'],
    ];
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    socket.end(`HTTP/1.1 ${getResultInfo(code).httpStatus} Refused\r\n${lines}\r\n${body}`);
  }
}

function listRefusalHeaders(refusal: MuxError): readonly Header[] {
  const headers: Header[] = [
    ['content-type', 'application/json'],
    [HeaderName.Result, String(refusal.code)],
    [HeaderName.RunState, refusal.runState],
  ];
  const retryAfterMs = getRetryAfter(refusal);
  if (retryAfterMs === undefined) return headers;
  const seconds = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND));
  headers.push([HeaderName.RetryAfter, String(seconds)]);
  headers.push([HeaderName.RetryAfterMs, String(retryAfterMs)]);
  return headers;
}

/** A caller that was given up on and not told when to come back would ask again at once. */
function getRetryAfter(refusal: MuxError): number | undefined {
  if (refusal.retryAfterMs !== undefined) return Math.ceil(refusal.retryAfterMs);
  const isPassing = getResultInfo(refusal.code).httpStatus >= FIRST_PASSING_STATUS;
  return isPassing ? DEFAULT_RETRY_AFTER_MS : undefined;
}

function createRefusalBody(refusal: MuxError): IRefusalBody {
  const retryAfterMs = getRetryAfter(refusal);
  return {
    code: refusal.code,
    name: getResultInfo(refusal.code).name,
    message: refusal.message,
    runState: refusal.runState,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

function hasUnreadBody(request: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers;
  return !request.complete && ((length !== undefined && length !== '0') || encoding !== undefined);
}

function createCallerGone(cause: unknown): MuxError {
  return new MuxError({
    code: ResultCode.CallerGone,
    message: 'the caller hung up',
    runState: RunState.MayHaveRun,
    cause,
  });
}

/** The address that the platform's balancer saw, or the connection's own. */
function getCaller(request: IncomingMessage): string {
  const forwarded = request.headers['x-forwarded-for'];
  const last = typeof forwarded === 'string' ? forwarded.split(',').at(-1)?.trim() : undefined;
  return last ?? request.socket.remoteAddress ?? '';
}
