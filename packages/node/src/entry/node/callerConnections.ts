/** What callers do to connections beyond sending requests: too many, too slow, not HTTP. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Server as TlsServer, TLSSocket } from 'node:tls';
import { ResultCode } from '@parsleymux/base';
import { createRefusal } from '../../http/common/refusal.js';
import { writeRawRefusal } from './refusalWriter.js';

/** Connections above the limit that still get an answer; beyond them the system drops. */
const REFUSED_ABOVE_LIMIT = 64;

/** Options of a {@link CallerConnections}. */
export interface ICallerConnectionsOptions {
  readonly server: Server;
  /** Connections whose requests are served. */
  readonly limit: number;
  /** Called for each refusal that answers no request, for metrics. */
  readonly onDidRefuse: (code: ResultCode) => void;
}

/**
 * Watches the connections of a server, and answers what is no request.
 *
 * @example
 * const connections = new CallerConnections({ server, limit: 4000, onDidRefuse });
 */
export class CallerConnections {
  private readonly options: ICallerConnectionsOptions;
  private readonly open = new Set<Duplex>();
  private readonly aboveLimit = new WeakSet<Duplex>();
  /** Requests of each connection that have no whole answer yet. */
  private readonly inFlight = new WeakMap<Duplex, Set<IncomingMessage>>();

  constructor(options: ICallerConnectionsOptions) {
    this.options = options;
    const { server, limit } = options;
    server.maxConnections = limit + REFUSED_ABOVE_LIMIT;
    // Requests over TLS come on the socket of this event, not on that of the TCP connection.
    const event = server instanceof TlsServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => {
      this.track(socket);
    });
    server.on('clientError', (error, socket) => {
      this.refuseMalformed(error, socket);
    });
    // Without a listener Node would end the connection without a word.
    server.on('connect', (_request, socket) => {
      this.refuse(socket, ResultCode.MethodNotAllowed, 'tunnels are not offered');
    });
  }

  /** Takes note of a request; the returned function says that its answer is whole. */
  startRequest(request: IncomingMessage): () => void {
    const requests = this.inFlight.get(request.socket) ?? new Set();
    this.inFlight.set(request.socket, requests.add(request));
    return () => {
      requests.delete(request);
    };
  }

  /** Throws when the request's connection was opened above the limit. */
  checkLimit(request: IncomingMessage): void {
    if (!this.aboveLimit.has(request.socket)) return;
    throw createRefusal(ResultCode.TooManyConnections, 'too many connections from callers');
  }

  private track(socket: Socket): void {
    this.open.add(socket);
    if (this.open.size > this.options.limit) this.aboveLimit.add(socket);
    socket.once('close', () => this.open.delete(socket));
  }

  /** Whether a request that arrived whole, and so may run, waits for its answer. */
  private hasCompleteRequest(socket: Duplex): boolean {
    return [...(this.inFlight.get(socket) ?? [])].some(({ complete }) => complete);
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
    // A caller matches answers to requests by their order alone. While a request of this
    // connection has no answer, a refusal of what came behind it would be read as its answer:
    // "not run", though it may run. A cut connection claims nothing.
    if (this.hasCompleteRequest(socket) || isHandshaking(socket)) socket.destroy();
    else writeRawRefusal(socket, createRefusal(code, message));
  }
}

const TLS_VERSIONS: ReadonlySet<string> = new Set(['TLSv1.2', 'TLSv1.3']);

/** Without a session nothing that is written can be read; the socket would wait for ever. */
function isHandshaking(socket: Duplex): boolean {
  return socket instanceof TLSSocket && !TLS_VERSIONS.has(socket.getProtocol() ?? '');
}
