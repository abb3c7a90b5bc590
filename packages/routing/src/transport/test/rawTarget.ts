/** A target on a bare TCP server, for tests that need responses that no HTTP library sends. */
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { IDisposable } from '@parsleymux/base';

/** One received request. */
export interface IRawRequest {
  readonly socket: Socket;
  /** Index of the connection, and of the request over all connections; both start at 0. */
  readonly connection: number;
  readonly index: number;
  readonly head: string;
  readonly body: string;
}

const HEAD_END = '\r\n\r\n';

/**
 * Counts connections and requests, and calls a function that responds to each request.
 *
 * @example
 * const target = await RawTarget.listen(({ socket }) => socket.write('HTTP/1.1 204 No\r\n\r\n'));
 */
export class RawTarget implements IDisposable {
  readonly requests: IRawRequest[] = [];
  connections = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private waiters: (() => void)[] = [];

  private constructor(private readonly onRequest: (request: IRawRequest) => void) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
  }

  static async listen(onRequest: (request: IRawRequest) => void): Promise<RawTarget> {
    const target = new RawTarget(onRequest);
    target.server.listen(0, '127.0.0.1');
    await once(target.server, 'listening');
    return target;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Open connections. */
  get openSockets(): ReadonlySet<Socket> {
    return this.sockets;
  }

  /** Resolves once `count` requests have arrived. */
  async waitForRequests(count: number): Promise<void> {
    while (this.requests.length < count) {
      await new Promise<void>((resolve) => this.waiters.push(resolve));
    }
  }

  async dispose(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private accept(socket: Socket): void {
    const connection = this.connections++;
    let text = '';
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (;;) {
        const split = parseRequest(text);
        if (split === undefined) return;
        text = split.rest;
        const request = { socket, connection, index: this.requests.length, ...split };
        this.requests.push(request);
        this.onRequest(request);
        this.notifyWaiters();
      }
    });
  }

  private notifyWaiters(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }
}

function parseRequest(
  text: string,
): { readonly head: string; readonly body: string; readonly rest: string } | undefined {
  const end = text.indexOf(HEAD_END);
  if (end === -1) return undefined;
  const head = text.slice(0, end);
  const length = Number(/^content-length: *([0-9]+)/im.exec(head)?.[1] ?? 0);
  const start = end + HEAD_END.length;
  if (text.length < start + length) return undefined;
  return { head, body: text.slice(start, start + length), rest: text.slice(start + length) };
}

/**
 * Resets a connection without an orderly end. Node's own `resetAndDestroy` shuts down the writing
 * side first, and the other side then reads an orderly end.
 */
export function resetSocket(socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true });
  socket.destroy();
}
