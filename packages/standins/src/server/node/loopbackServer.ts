/** An HTTP server on loopback that can be closed and reopened on the same port. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { IDisposable } from '@parsleymux/base';
import VError from 'verror';

const DEFAULT_HOST = '127.0.0.1';
const INTERNAL_ERROR = 500;
/** Longer than any caller's idle timeout, so that the caller closes idle connections. */
const KEEP_ALIVE_MS = 120_000;

/** Options of a {@link LoopbackServer}. */
export interface ILoopbackServerOptions {
  /** Address within 127.0.0.0/8. Default 127.0.0.1. */
  readonly host?: string;
  /** Default 0: the operating system chooses. */
  readonly port?: number;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Returns false to close the connection immediately. Default: every connection is accepted. */
  readonly acceptConnection?: (openConnections: number) => boolean;
}

/**
 * An HTTP server that tracks its open connections.
 *
 * @example
 * const server = new LoopbackServer({ handle: async (_, response) => void response.end() });
 * await server.open();
 * console.log(server.getAddress());
 * await server.dispose();
 */
export class LoopbackServer implements IDisposable {
  private readonly options: ILoopbackServerOptions;
  private readonly sockets = new Set<Socket>();
  private readonly host: string;
  private port: number;
  private server: Server | undefined;

  constructor(options: ILoopbackServerOptions) {
    this.options = options;
    this.host = options.host ?? DEFAULT_HOST;
    this.port = options.port ?? 0;
  }

  /** IP address and port. The port is valid after the first {@link open}. */
  getAddress(): string {
    return `${this.host}:${this.port}`;
  }

  /** The open connections. */
  getSockets(): ReadonlySet<Socket> {
    return this.sockets;
  }

  /** Starts listening. After a {@link close}, the previous port is used again. */
  async open(): Promise<void> {
    if (this.server !== undefined) return;
    const server = createServer((request, response) => {
      void this.handleSafely(request, response);
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.on('connection', (socket: Socket) => {
      this.acceptSocket(socket);
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, resolve);
    });
    this.port = (server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections; further connections are refused. */
  async close(): Promise<void> {
    const server = this.server;
    if (server === undefined) return;
    this.server = undefined;
    const closed = new Promise<void>((resolve) =>
      server.close(() => {
        resolve();
      }),
    );
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  dispose(): Promise<void> {
    return this.close();
  }

  private acceptSocket(socket: Socket): void {
    if (this.options.acceptConnection?.(this.sockets.size) === false) {
      socket.destroy();
      return;
    }
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }

  private async handleSafely(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.options.handle(request, response);
    } catch (error) {
      if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
      }
      response.writeHead(INTERNAL_ERROR, { 'content-type': 'text/plain' });
      response.end(VError.fullStack(error as Error));
    }
  }
}
