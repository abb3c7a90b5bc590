/** The HTTP server for callers: reads requests, matches their routes and writes the responses. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { Socket } from 'node:net';
import type { Clock, IDisposable, Logger, MemoryBudget, RandomSource } from '@parsleymux/base';
import { BodyResult, RequestBody, ResultCode, setConnectionLimit } from '@parsleymux/base';
import type { Header } from '@parsleymux/routing';
import { removeHopByHopHeaders } from '@parsleymux/routing';
import type { DestinationPicker } from '../../catalog/common/destinationPicker.js';
import type { ICatalog, IRouteRule } from '@parsleymux/scheduling';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { CallerProtocol } from '../common/callerProtocol.js';
import type { IEntryResponse, IEntryRequest } from '../common/entryRequest.js';
import type { RequestRunner } from '../common/requestRunner.js';
import type { ICallerIdentity, KeyChecker } from '../../tenants/common/keyChecker.js';
import { makeEntryRefusal } from '../common/entryResponse.js';
import { CallerConnections } from './callerConnections.js';
import { refuseLateHead, refuseMalformed } from './malformedRequest.js';
import type { RequestLog } from './requestLog.js';
import { computeFingerprints } from './requestFingerprint.js';
import { ResponseWriter, hasBody } from './responseWriter.js';

/** Largest header section that the parser accepts until a configuration sets the limit, in bytes. */
const PARSER_HEADER_BYTES = 131_072;
/** The parser's limit relative to the configured one: it also counts what the latter does not. */
const PARSER_HEADER_FACTOR = 1.25;
/** Timeout of requests whose callers give no deadline, in ms. */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;
/** Mean Retry-After of requests that another node may serve, in ms, for example while this one has no configuration. */
const NOT_READY_RETRY_MS = 300;
/** Its jitter as a share of it, so that the callers of all restarted nodes don't return at once. */
const NOT_READY_RETRY_JITTER = 0.5;
/** The same for requests to a node with an outdated configuration; others are up to date. */
const OUTDATED_RETRY_MS = 100;
/** Extra time for which idle connections are kept, in ms: allows for differences of clocks and latency. */
const IDLE_MARGIN_MS = 2000;
/** Idle timeout until a configuration sets it, in ms. */
const INITIAL_IDLE_MS = 15_000;
const INTERNAL_ERROR = 500;

/** Options of a {@link FrontServer}. */
export interface IFrontServerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: NodeDirectory;
  readonly runner: RequestRunner;
  readonly picker: DestinationPicker;
  readonly callers: CallerProtocol;
  readonly keys: KeyChecker;
  /** Whether other nodes have had a newer configuration for too long to serve requests by this one. */
  readonly isConfigurationOutdated: () => boolean;
  /** Whether no other configuration can have to be in force. */
  readonly isConfigurationCurrent: () => boolean;
  readonly log: Logger;
  readonly requestLog: RequestLog;
  /** Memory for what callers send, and for responses that they have not read. */
  readonly budget: MemoryBudget;
  /** Maximum number of callers' connections. */
  readonly maxConnections: number;
}

type Routed =
  | {
      readonly kind: 'routed';
      readonly route: IRouteRule;
      readonly catalog: ICatalog;
      readonly catalogAgeMs: number;
      readonly sender: ICallerIdentity;
    }
  | { readonly kind: 'refused'; readonly refusal: IEntryResponse };

/**
 * Accepts requests of callers and serves them until it is stopped.
 *
 * @example
 * const front = new FrontServer(options);
 * await listenOn(front.server, '10.1.0.4:8080');
 */
export class FrontServer implements IDisposable {
  readonly server: Server;
  readonly connections: CallerConnections;
  private readonly responses: ResponseWriter;

  constructor(private readonly options: IFrontServerOptions) {
    const { budget, clock, maxConnections } = options;
    this.server = createServer({ maxHeaderSize: PARSER_HEADER_BYTES }, (request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = INITIAL_IDLE_MS + IDLE_MARGIN_MS;
    this.server.requestTimeout = 0;
    // The connections are checked instead: the server's own check also ends those that it does not read.
    this.server.headersTimeout = 0;
    this.connections = new CallerConnections({
      server: this.server,
      clock,
      budget,
      onLateHead: (socket) => {
        options.log.warn('incomplete request', { heldBytes: budget.usedBytes });
        refuseLateHead(socket);
      },
    });
    const { connections } = this;
    this.responses = new ResponseWriter({ ...options, connections });
    this.server.on('connection', (socket: Socket) => {
      socket.setNoDelay(true);
      this.connections.add(socket);
    });
    setConnectionLimit(this.server, {
      maxConnections,
      isIdle: (socket) => this.connections.isIdle(socket),
    });
    this.server.on('clientError', (error, socket) => {
      options.log.warn('malformed request', { reason: error.message });
      if (socket instanceof Socket) refuseMalformed(error, socket, this.connections);
    });
    options.directory.onDidChangeCatalog(({ limits }) => {
      const idleMs = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      this.connections.timeouts = { headMs: limits.headerTimeoutMs, idleMs };
      this.server.keepAliveTimeout = idleMs;
      this.responses.stallMs = idleMs;
      setMaxHeaderBytes(this.server, limits.maxHeaderBytes * PARSER_HEADER_FACTOR);
    });
  }

  /** Stops listening. Open connections are still served. */
  closePort(): void {
    this.server.close();
  }

  dispose(): void {
    this.connections.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const signal = this.connections.startRequest(request, countHeaderBytes(request));
    if (signal === undefined) return;
    response.once('close', () => {
      if (response.writableFinished) this.connections.endRequest(request);
    });
    try {
      await this.serve(request, response, signal);
    } catch (error) {
      this.handleInternalError(request, response, error, signal);
    }
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, requestLog } = this.options;
    const arrivedMs = clock.getMonotonicTime();
    const routed = this.findRoute(request);
    if (routed.kind === 'refused') {
      requestLog.recordUnrouted(this.describe(request), routed.refusal, arrivedMs);
      this.responses.write(request, response, routed.refusal, hasBody(request));
      return;
    }
    const { catalog, route } = routed;
    const timeoutMs =
      this.options.callers.getTimeoutMs(request.headers) ?? DEFAULT_CALLER_TIMEOUT_MS;
    const deadlineMs = arrivedMs + Math.min(timeoutMs, route.timeoutMs);
    const { budget } = this.options;
    const { maxBodyBytes: maxBytes } = catalog.limits;
    const body = new RequestBody({ clock, budget, maxBytes, deadlineMs });
    try {
      const entryRequest = await this.read(request, routed, body, { arrivedMs, deadlineMs });
      if ('status' in entryRequest) {
        requestLog.recordUnrouted(this.describe(request), entryRequest, arrivedMs);
        this.responses.write(request, response, entryRequest, true);
        return;
      }
      await this.run(request, response, entryRequest, signal);
    } finally {
      body.dispose();
    }
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
    entryRequest: IEntryRequest,
    signal: AbortSignal,
  ): Promise<void> {
    const { requestLog, runner } = this.options;
    try {
      const entryResponse = await runner.run(entryRequest, signal);
      requestLog.recordResponse(entryRequest, entryResponse);
      this.responses.write(request, response, entryResponse, false);
    } catch (error) {
      if (!signal.aborted) throw error;
      requestLog.recordDisconnected(entryRequest);
    }
  }

  private findRoute(request: IncomingMessage): Routed {
    const { directory } = this.options;
    const catalog = directory.getCatalog();
    const match = directory.getRoutes()?.match(request.headers.host ?? '', request.url ?? '/');
    if (catalog === undefined || match === undefined) {
      return refuse(ResultCode.NotReady, this.getRetryMs());
    }
    if (this.options.isConfigurationOutdated()) {
      return refuse(ResultCode.ConfigurationOutdated, OUTDATED_RETRY_MS);
    }
    switch (match.kind) {
      case 'unknown-host':
        return this.refuseUnknown(ResultCode.UnknownHost);
      case 'unknown-path':
        return this.refuseUnknown(ResultCode.UnknownRoute);
      case 'found':
        break;
    }
    const headerBytes = countHeaderBytes(request);
    if (headerBytes > catalog.limits.maxHeaderBytes) return refuse(ResultCode.HeadersTooLarge);
    const { callers, keys } = this.options;
    const checked = keys.check(callers.readCredential(listHeaders(request)), match.route);
    if (checked.kind === 'refused') return refuse(checked.code, checked.retryAfterMs);
    const catalogAgeMs = directory.catalog.getAgeMs();
    return { kind: 'routed', route: match.route, catalog, catalogAgeMs, sender: checked.sender };
  }

  /** A newer configuration may have the route, and callers don't repeat a request that no route handles. */
  private refuseUnknown(code: ResultCode): Routed {
    const isCurrent = this.options.isConfigurationCurrent();
    return isCurrent ? refuse(code) : refuse(ResultCode.ConfigurationOutdated, OUTDATED_RETRY_MS);
  }

  /** Reads the complete request; returns the refusal if it can't be accepted. */
  private async read(
    request: IncomingMessage,
    routed: Extract<Routed, { kind: 'routed' }>,
    requestBody: RequestBody,
    times: Pick<IEntryRequest, 'arrivedMs' | 'deadlineMs'>,
  ): Promise<IEntryRequest | IEntryResponse> {
    const { callers, picker } = this.options;
    const { catalog, catalogAgeMs, route, sender } = routed;
    if (Number.isNaN(times.deadlineMs)) return makeEntryRefusal(ResultCode.MalformedDeadline);
    const result = await requestBody.read(request);
    if (result !== BodyResult.Complete) return this.refuseBody(result);
    const body = requestBody.getContent();
    const service = picker.pick(route);
    if (service === undefined) return makeEntryRefusal(ResultCode.NoTarget, NOT_READY_RETRY_MS);
    return {
      id: callers.getRequestId(request.headers) ?? '',
      fingerprints: computeFingerprints({
        caller: callers.getCaller(request.headers),
        method: request.method ?? 'GET',
        host: request.headers.host ?? '',
        path: request.url ?? '/',
        body,
      }),
      route,
      service,
      sender,
      catalogVersion: catalog.version,
      catalogAgeMs,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: this.listTargetHeaders(request, routed),
      body,
      ...times,
    };
  }

  private refuseBody(result: Exclude<BodyResult, 'complete'>): IEntryResponse {
    switch (result) {
      case BodyResult.TooLarge:
        return makeEntryRefusal(ResultCode.BodyTooLarge);
      case BodyResult.Aborted:
        return makeEntryRefusal(ResultCode.MalformedRequest);
      case BodyResult.Late:
        return makeEntryRefusal(ResultCode.RequestTimeout);
      case BodyResult.Evicted: {
        const heldBytes = this.options.budget.usedBytes;
        this.options.log.warn('memory for callers exceeded', { heldBytes });
        return makeEntryRefusal(ResultCode.NodeMemoryLimit, this.getRetryMs());
      }
    }
  }

  private getRetryMs(): number {
    return this.options.random.getJittered(NOT_READY_RETRY_MS, NOT_READY_RETRY_JITTER);
  }

  /** Where requests need keys, the target receives the tenant's name instead of the key. */
  private listTargetHeaders(
    request: IncomingMessage,
    { catalog, sender }: Extract<Routed, { kind: 'routed' }>,
  ): readonly Header[] {
    const headers = listHeaders(request);
    if (catalog.requiresKeys !== true) return headers;
    const { callers } = this.options;
    const publicHeaders = headers.filter(([name]) => !callers.isPrivate(name));
    return sender.tenant === undefined
      ? publicHeaders
      : [...publicHeaders, ...callers.listTenantHeaders(sender.tenant.name)];
  }

  private handleInternalError(
    request: IncomingMessage,
    response: ServerResponse,
    error: unknown,
    signal: AbortSignal,
  ): void {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.options.log.error('request failed with an internal error', {
      request: this.describe(request).id,
      reason,
    });
    if (signal.aborted || response.headersSent) {
      response.destroy();
      return;
    }
    this.connections.startResponse(request, response, false);
    response.writeHead(INTERNAL_ERROR, { 'content-length': '0' }).end();
  }

  private describe(request: IncomingMessage): { readonly id: string; readonly path: string } {
    const id = this.options.callers.getRequestId(request.headers) ?? '';
    return { id, path: `${request.headers.host ?? ''}${request.url ?? ''}` };
  }
}

function refuse(code: ResultCode, retryAfterMs?: number): Routed {
  return { kind: 'refused', refusal: makeEntryRefusal(code, retryAfterMs) };
}

/** Applies to connections that are opened later. The property is not among the declared ones. */
function setMaxHeaderBytes(server: Server & { maxHeaderSize?: number }, bytes: number): void {
  server.maxHeaderSize = Math.ceil(bytes);
}

function countHeaderBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function listHeaders(request: IncomingMessage): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    headers.push([
      (request.rawHeaders[index] ?? '').toLowerCase(),
      request.rawHeaders[index + 1] ?? '',
    ]);
  }
  return removeHopByHopHeaders(headers).filter(([name]) => name !== 'content-length');
}
