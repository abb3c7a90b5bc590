/** HTTP server for callers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Clock, IDisposable } from '@parsleymux/base';
import { closeServer, listenOn, MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ConfigService, IRouteMatch } from '@parsleymux/config';
import { RouteTable } from '@parsleymux/config';
import type { Header, IResponse, IRoutedRequest } from '@parsleymux/routing';
import { discardBody } from '@parsleymux/routing';
import type { Limits, Timing } from '@parsleymux/schema';
import type { NodeState } from '../../app/common/nodeState.js';
import { NodeStage } from '../../app/common/nodeState.js';
import { HeaderName } from '../../http/common/headers.js';
import { createRefusal, toMuxError } from '../../http/common/refusal.js';
import { waitForEnd, writeResponse } from '../../http/node/bodyWriter.js';
import { createDisconnectSignal } from '../../http/node/disconnectSignal.js';
import type { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import { createHttpServer } from '../../tls/node/httpServerFactory.js';
import type { TlsFilesWatcher } from '../../tls/node/tlsFilesWatcher.js';
import { findRoute, parseHost } from '../common/callerRequest.js';
import type { HomeRouter } from '../common/homeRouter.js';
import { CallerConnections } from './callerConnections.js';
import { checkExpectation, readCallerRequest } from './callerRequestReader.js';
import { EntryShares } from './entryShares.js';
import { writeRefusal } from './refusalWriter.js';

/** Interval between checks for requests that take too long to arrive. */
const CHECKING_INTERVAL_MS = 1000;
const KEEP_ALIVE_MS = 65_000;
/** Time after which a caller may retry at a node that can't serve now. */
const RETRY_AFTER_MS = 1000;

/** Options of a {@link CallerServer}. */
export interface ICallerServerOptions {
  readonly clock: Clock;
  readonly config: ConfigService;
  readonly router: HomeRouter;
  readonly state: NodeState;
  readonly metrics: NodeMetrics;
  readonly limits: Limits;
  readonly timing: Timing;
  /** When absent, the server uses plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
  /** Whether the node must not accept requests because it has been isolated from store and peers too long. */
  readonly isIsolated: () => boolean;
}

/**
 * Accepts callers' requests and sends each its complete response or a refusal with a result code.
 *
 * @example
 * const server = new CallerServer(options);
 * const address = await server.listen('127.0.0.1:0');
 */
export class CallerServer implements IDisposable {
  private readonly options: ICallerServerOptions;
  private readonly shares: EntryShares;
  private readonly server: Server;
  private readonly connections: CallerConnections;
  private readonly configSubscription: IDisposable;
  private readonly table: RouteTable;

  constructor(options: ICallerServerOptions) {
    this.options = options;
    this.table = new RouteTable(options.config.getCurrent());
    this.configSubscription = options.config.onDidChange((change) => {
      this.table.update(change);
    });
    this.shares = new EntryShares(options.limits);
    this.server = this.createServer();
    this.connections = new CallerConnections({
      server: this.server,
      limit: options.limits.callerConnections,
      // Requests that are refused because too many are in hand are open, too, until their response is read.
      maxRequests: options.limits.requestsInHand * 2,
      onDidRefuse: (code) => {
        options.metrics.recordRequest({ member: '', service: '', code, durationMs: 0 });
      },
    });
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops accepting connections; resolves when every connection has ended. */
  async dispose(): Promise<void> {
    await this.configSubscription.dispose();
    await closeServer(this.server);
  }

  private createServer(): Server {
    const { limits, timing, tls } = this.options;
    const listener = (request: IncomingMessage, response: ServerResponse) => {
      void this.serve(request, response);
    };
    const server = createHttpServer(
      tls,
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: Math.min(timing.callerHeaderMs, timing.callerRequestMs),
        requestTimeout: timing.callerRequestMs,
        connectionsCheckingInterval: CHECKING_INTERVAL_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        // Checked by parseHost instead, so that the refusal has a result code.
        requireHostHeader: false,
      },
      listener,
    );
    // The header size bounds the number of headers; silently dropping some would change requests.
    server.maxHeadersCount = 0;
    // Without listeners, Node.js would respond to these itself, without a result code.
    server.on('checkContinue', listener);
    server.on('checkExpectation', listener);
    return server;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.connections.isBehindClose(request, this.options.state.isShuttingDown())) return;
    const startedMs = this.options.clock.getMonotonicTime();
    const finish = this.options.state.startRequest();
    const finishOnConnection = this.connections.startRequest(request);
    const signal = createDisconnectSignal(response, 'the caller disconnected');
    let match: IRouteMatch | undefined;
    let code: ResultCode = ResultCode.Ok;
    let releaseShares: (() => void) | undefined;
    try {
      match = this.acceptRequest(request);
      releaseShares = this.shares.reserve(match.member, request);
      // Sent only after the checks, since a request that is refused needs no body.
      if (request.headers.expect !== undefined) response.writeContinue();
      const routed = await this.readRequest(request, match, startedMs);
      const homeResponse = await this.options.router.serve(routed, signal);
      code = homeResponse.code;
      await this.sendResponse(request, response, homeResponse);
    } catch (error) {
      const refusal = signal.aborted ? createCallerDisconnected(error) : toMuxError(error);
      code = refusal.code;
      await this.writeRefusal(request, response, refusal);
    } finally {
      await waitForEnd(response);
      releaseShares?.();
      finishOnConnection();
      finish();
      this.recordRequest(match, code, startedMs);
    }
  }

  private recordRequest(match: IRouteMatch | undefined, code: ResultCode, startedMs: number): void {
    this.options.metrics.recordRequest({
      member: match?.member ?? '',
      service: match?.route.service ?? '',
      code,
      durationMs: this.options.clock.getMonotonicTime() - startedMs,
    });
  }

  private acceptRequest(request: IncomingMessage): IRouteMatch {
    this.connections.checkLimit(request);
    checkExpectation(request);
    this.checkServing();
    const host = parseHost(request.headersDistinct.host);
    return findRoute(this.table, host, request.url ?? '/', request.method ?? 'GET');
  }

  /**
   * A node that has no configuration yet would respond "unknown host" to every caller that a lagging
   * balancer sends to it, and callers treat that response as final.
   */
  private checkServing(): void {
    if (this.options.state.getStage() === NodeStage.Starting) {
      throw createRefusal(
        ResultCode.NotReady,
        'this node does not know its configuration yet',
        RETRY_AFTER_MS,
      );
    }
    if (this.options.isIsolated()) {
      throw createRefusal(
        ResultCode.NodeIsolated,
        'this node is cut off from the rest of the fleet',
        RETRY_AFTER_MS,
      );
    }
  }

  private readRequest(
    request: IncomingMessage,
    match: IRouteMatch,
    startedMs: number,
  ): Promise<IRoutedRequest> {
    const { clock, limits, timing } = this.options;
    return readCallerRequest(request, {
      clock,
      match,
      startedMs,
      defaultDeadlineMs: timing.defaultDeadlineMs,
      maxBodyBytes: limits.requestBodyBytes,
    });
  }

  private async sendResponse(
    request: IncomingMessage,
    response: ServerResponse,
    homeResponse: IResponse,
  ): Promise<void> {
    this.watchStalls(response);
    await checkFraming(request, homeResponse);
    const headers: Header[] = [
      ...homeResponse.headers,
      [HeaderName.Result, String(homeResponse.code)],
      [HeaderName.RunState, homeResponse.runState],
      ...this.listClosingHeaders(request),
    ];
    const isHead = request.method === 'HEAD';
    await writeResponse(response, {
      status: homeResponse.status,
      headers,
      body: homeResponse.body,
      isHead,
    });
  }

  private async writeRefusal(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: MuxError,
  ): Promise<void> {
    if (refusal.code === ResultCode.Internal) this.options.metrics.recordInternalError(refusal);
    this.watchStalls(response);
    await writeRefusal(request, response, refusal, this.listClosingHeaders(request));
  }

  /**
   * Bounds the time in which a caller reads nothing. A response stays in this node's memory until it is
   * read: callers that never read would exhaust the memory and block the node's shutdown.
   */
  private watchStalls(response: ServerResponse): void {
    response.setTimeout(this.options.timing.callerStallMs, () => {
      // When nothing is buffered, the target is pausing, for which a separate limit applies.
      if (response.writableLength > 0) response.destroy();
    });
  }

  /** During shutdown, makes callers open new connections, which reach other nodes. */
  private listClosingHeaders(request: IncomingMessage): readonly Header[] {
    const isShuttingDown = this.options.state.isShuttingDown();
    return this.connections.startResponse(request, isShuttingDown) ? [['connection', 'close']] : [];
  }
}

/**
 * HTTP/1.0 has no chunked encoding: a streamed response of unknown length would end with its
 * connection, and a truncated one would look complete.
 */
async function checkFraming(request: IncomingMessage, homeResponse: IResponse): Promise<void> {
  const isFramed =
    request.httpVersion !== '1.0' ||
    homeResponse.body instanceof Uint8Array ||
    homeResponse.headers.some(([name]) => name === 'content-length');
  if (isFramed) return;
  await discardBody(homeResponse.body);
  throw new MuxError({
    code: ResultCode.AnswerTooLarge,
    message: 'the answer is streamed, which HTTP/1.0 cannot show the end of; use HTTP/1.1',
    runState: homeResponse.runState,
  });
}

function createCallerDisconnected(cause: unknown): MuxError {
  return new MuxError({
    code: ResultCode.CallerGone,
    message: 'the caller hung up',
    runState: RunState.MayHaveRun,
    cause,
  });
}
