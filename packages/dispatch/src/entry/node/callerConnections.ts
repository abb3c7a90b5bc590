/** Tracks callers' connections and their open requests, and closes connections when the node stops. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface IOpenRequest {
  readonly request: IncomingMessage;
  /** Aborts if the connection is closed before the response is complete. */
  readonly disconnected: AbortController;
  /** Whether its response has been written, so that it can no longer announce the close. */
  hasResponse: boolean;
}

interface IConnection {
  /** Requests without a complete response, in the order of arrival. */
  readonly open: IOpenRequest[];
  /** Whether a response has announced the close of the connection: later requests are not handled. */
  isClosing: boolean;
}

/**
 * Closes connections without losing a request.
 *
 * A request that was forwarded to a target runs even if its connection closes, but its response is lost.
 * A response therefore announces the close (`connection: close`) only if no other request is pending
 * behind it. Requests behind such a response are dropped unread, so callers can safely resend them to
 * another node.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, IConnection>();
  private isStopping = false;
  /** Whether any caller has connected since the start. */
  hasAcceptedConnection = false;

  /** Requests without a complete response, on all connections. */
  get openRequests(): number {
    let sum = 0;
    for (const { open } of this.connections.values()) sum += open.length;
    return sum;
  }

  get size(): number {
    return this.connections.size;
  }

  /** Whether no request of the connection is waiting for its response. */
  isIdle(socket: Socket): boolean {
    return (this.connections.get(socket)?.open.length ?? 0) === 0;
  }

  add(socket: Socket): void {
    this.hasAcceptedConnection = true;
    this.connections.set(socket, { open: [], isClosing: false });
    socket.once('close', () => {
      this.handleClose(socket);
    });
  }

  /**
   * Returns a signal that aborts if the caller disconnects before the response is complete; undefined if the
   * request is behind a response that announces the close, and must not be handled.
   */
  startRequest(request: IncomingMessage): AbortSignal | undefined {
    const connection = this.connections.get(request.socket);
    if (connection === undefined || connection.isClosing) return undefined;
    // If a stopping node accepted it, a caller that always has another request pending would never see a close.
    if (this.isStopping && connection.open.at(-1)?.hasResponse === false) return undefined;
    const disconnected = new AbortController();
    connection.open.push({ request, disconnected, hasResponse: false });
    return disconnected.signal;
  }

  /** Must be called when the response to a request is complete. */
  endRequest(request: IncomingMessage): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined) return;
    const index = connection.open.findIndex((entry) => entry.request === request);
    if (index !== -1) connection.open.splice(index, 1);
  }

  /**
   * Must be called before a response is written. Announces the close of the connection in it if the node is
   * stopping or `mustEnd` is set, unless another request is pending behind it.
   */
  startResponse(request: IncomingMessage, response: ServerResponse, mustEnd: boolean): void {
    const connection = this.connections.get(request.socket);
    const entry = connection?.open.find((open) => open.request === request);
    if (connection === undefined || entry === undefined) return;
    entry.hasResponse = true;
    const isLast = connection.open.at(-1) === entry;
    if (!isLast || !(mustEnd || this.isStopping)) return;
    connection.isClosing = true;
    response.setHeader('connection', 'close');
  }

  /** From now on, responses announce the close of their connections, and no requests behind them are accepted. */
  stop(): void {
    this.isStopping = true;
  }

  /** Closes the connections without open requests. */
  closeIdle(): void {
    for (const [socket, { open }] of this.connections) {
      if (open.length > 0) continue;
      socket.end();
      socket.destroySoon();
    }
  }

  /**
   * Node.js emits the close only for the response that is being written. The responses behind it have no
   * connection yet, so that their requests would go on although nobody receives the responses.
   */
  private handleClose(socket: Socket): void {
    const open = this.connections.get(socket)?.open ?? [];
    this.connections.delete(socket);
    for (const { disconnected } of open) disconnected.abort(new Error('caller disconnected'));
  }
}
