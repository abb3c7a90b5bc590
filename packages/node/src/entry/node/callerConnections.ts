/** Limits the connections of callers, and refuses slow or malformed input on them. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Server as TlsServer, TLSSocket } from 'node:tls';
import type { MemoryAccount } from '@parsleymux/base';
import { MemoryBudget, PipelineLimit, ResultCode } from '@parsleymux/base';
import { createRefusal } from '../../http/common/refusal.js';
import { writeRawRefusal } from './refusalWriter.js';

/** Connections above the limit that still get a refusal; further ones are dropped. */
const REFUSED_ABOVE_LIMIT = 64;

/** Memory of a request without its body, in bytes. */
const REQUEST_BYTES = 8192;

interface IOpenRequest {
  readonly request: IncomingMessage;
  /** Whether its response has been written, so that it can no longer announce the close. */
  hasResponse: boolean;
}

interface IRequests {
  /** Requests whose response is not complete yet, in the order of arrival. */
  readonly open: IOpenRequest[];
  /** Counts them. */
  readonly account: MemoryAccount;
  /** Whether a response has announced the close of the connection. */
  isClosing: boolean;
}

/** Options of a {@link CallerConnections}. */
export interface ICallerConnectionsOptions {
  readonly server: Server;
  /** Maximum number of connections whose requests are served. */
  readonly limit: number;
  /** Called for each refusal that does not belong to a request, for metrics. */
  readonly onDidRefuse: (code: ResultCode) => void;
  /** Maximum number of open requests; the connection with most of them is closed when there are more. */
  readonly maxRequests: number;
}

/**
 * Tracks the connections of a server, and refuses input that is not a valid request.
 *
 * @example
 * const connections = new CallerConnections({ server, limit: 4000, maxRequests: 8000, onDidRefuse });
 */
export class CallerConnections {
  private readonly options: ICallerConnectionsOptions;
  private readonly open = new Set<Duplex>();
  private readonly pipelines: PipelineLimit;
  private readonly budget: MemoryBudget;
  private readonly aboveLimit = new WeakSet<Duplex>();
  private readonly requestsBySocket = new WeakMap<Duplex, IRequests>();
  /** A request loses its socket when it is destroyed, for example because its body is too large. */
  private readonly requestsByRequest = new WeakMap<IncomingMessage, IRequests>();

  constructor(options: ICallerConnectionsOptions) {
    this.options = options;
    const { server, limit } = options;
    this.pipelines = new PipelineLimit({
      server,
      countOpen: (socket) => this.requestsBySocket.get(socket)?.open.length ?? 0,
    });
    this.budget = new MemoryBudget({ limitBytes: options.maxRequests * REQUEST_BYTES });
    server.maxConnections = limit + REFUSED_ABOVE_LIMIT;
    // Requests over TLS have the socket of this event, not that of the TCP connection.
    const event = server instanceof TlsServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => {
      this.track(socket);
    });
    server.on('clientError', (error, socket) => {
      this.refuseMalformed(error, socket);
    });
    // Without a listener, Node.js would close the connection without a response.
    server.on('connect', (_request, socket) => {
      this.refuse(socket, ResultCode.MethodNotAllowed, 'tunnels are not offered');
    });
  }

  /** Tracks a request until the returned function is called, when its response is complete. */
  startRequest(request: IncomingMessage): () => void {
    const requests = this.getRequests(request);
    this.requestsByRequest.set(request, requests);
    const { open } = requests;
    const entry = { request, hasResponse: false };
    open.push(entry);
    const { socket } = request;
    requests.account.add(REQUEST_BYTES);
    return () => {
      const index = open.indexOf(entry);
      if (index === -1) return;
      open.splice(index, 1);
      requests.account.add(-REQUEST_BYTES);
      this.pipelines.startReading(socket);
    };
  }

  /**
   * Whether an earlier response of the connection announces, or is going to announce, the close, or whether it was
   * closed. The caller knows then that the request was not read.
   */
  isBehindClose(request: IncomingMessage, isShuttingDown: boolean): boolean {
    const { isClosing, open } = this.getRequests(request);
    return (
      isClosing ||
      request.socket.destroyed ||
      (isShuttingDown && open.at(-1)?.hasResponse === false)
    );
  }

  /**
   * Must be called before a response is written. Returns whether it can announce the close of the connection:
   * the response to a request behind it would be lost.
   */
  startResponse(request: IncomingMessage, isShuttingDown: boolean): boolean {
    const requests = this.requestsByRequest.get(request);
    const entry = requests?.open.find((one) => one.request === request);
    if (requests === undefined || entry === undefined) return false;
    entry.hasResponse = true;
    const isClosing = isShuttingDown && entry === requests.open.at(-1);
    if (isClosing) requests.isClosing = true;
    return isClosing;
  }

  /** Throws when the request's connection was opened above the limit. */
  checkLimit(request: IncomingMessage): void {
    if (!this.aboveLimit.has(request.socket)) return;
    throw createRefusal(ResultCode.TooManyConnections, 'too many connections from callers');
  }

  private getRequests({ socket }: IncomingMessage): IRequests {
    const known = this.requestsBySocket.get(socket);
    if (known !== undefined) return known;
    const account = this.budget.open(() => socket.destroy());
    const requests = { open: [], account, isClosing: false };
    this.requestsBySocket.set(socket, requests);
    return requests;
  }

  private track(socket: Socket): void {
    this.open.add(socket);
    if (this.open.size > this.options.limit) this.aboveLimit.add(socket);
    socket.once('close', () => this.open.delete(socket));
  }

  /** Whether a request that was received completely, and so may run, has no complete response yet. */
  private hasCompleteRequest(socket: Duplex): boolean {
    return this.requestsBySocket.get(socket)?.open.some(({ request }) => request.complete) === true;
  }

  private refuseMalformed(error: Error, socket: Duplex): void {
    switch ((error as { readonly code?: unknown }).code) {
      case 'HPE_HEADER_OVERFLOW':
        this.refuse(socket, ResultCode.HeadersTooLarge, 'the headers are too large');
        break;
      case 'ERR_HTTP_REQUEST_TIMEOUT':
        this.refuse(socket, ResultCode.RequestTimeout, 'the request did not arrive in time');
        break;
      default:
        this.refuse(socket, ResultCode.MalformedRequest, 'the request is not valid HTTP/1.1');
    }
  }

  private refuse(socket: Duplex, code: ResultCode, message: string): void {
    this.options.onDidRefuse(code);
    // A caller matches responses to requests only by their order. While a request of this connection
    // has no response, the caller would read a refusal of later input as that response: "not run",
    // although the request may run. A closed connection makes no such statement.
    if (this.hasCompleteRequest(socket) || isHandshaking(socket)) socket.destroy();
    else writeRawRefusal(socket, createRefusal(code, message));
  }
}

const TLS_VERSIONS: ReadonlySet<string> = new Set(['TLSv1.2', 'TLSv1.3']);

/** Before the handshake is complete no response can be sent; the socket would wait forever. */
function isHandshaking(socket: Duplex): boolean {
  return socket instanceof TLSSocket && !TLS_VERSIONS.has(socket.getProtocol() ?? '');
}
