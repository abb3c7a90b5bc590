/** Connections of callers: which requests each has open, and how they end when the node stops. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface IConnection {
  /** Requests without a whole answer, in the order of arrival. */
  readonly open: IncomingMessage[];
  /** The last answer says that the connection ends: what comes behind it is not read. */
  isClosing: boolean;
}

/**
 * Ends connections only where no request can be lost.
 *
 * A request that was passed on to a target and whose connection then closes has run without an
 * answer. So an answer may announce the end only while nothing stands behind it, and what arrives
 * after the announcement is dropped unread, which callers may send again elsewhere.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, IConnection>();
  private isStopping = false;
  /** Whether any caller ever connected. */
  hasAcceptedConnection = false;

  /** Requests without a whole answer, on all connections. */
  get openRequests(): number {
    let sum = 0;
    for (const { open } of this.connections.values()) sum += open.length;
    return sum;
  }

  get size(): number {
    return this.connections.size;
  }

  /** Whether no request of the connection waits for its answer. */
  isIdle(socket: Socket): boolean {
    return (this.connections.get(socket)?.open.length ?? 0) === 0;
  }

  add(socket: Socket): void {
    this.hasAcceptedConnection = true;
    this.connections.set(socket, { open: [], isClosing: false });
    socket.once('close', () => this.connections.delete(socket));
  }

  /** False when the request is behind an announced end and must not be handled. */
  startRequest(request: IncomingMessage): boolean {
    const connection = this.connections.get(request.socket);
    if (connection === undefined || connection.isClosing) return false;
    connection.open.push(request);
    return true;
  }

  endRequest(request: IncomingMessage): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined) return;
    const index = connection.open.indexOf(request);
    if (index !== -1) connection.open.splice(index, 1);
  }

  /** Announces the end of the connection with this answer if the node stops and nothing is behind. */
  announceClose(request: IncomingMessage, response: ServerResponse, mustEnd: boolean): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined) return;
    const isLast = connection.open[connection.open.length - 1] === request;
    if (!isLast || !(mustEnd || this.isStopping)) return;
    connection.isClosing = true;
    response.setHeader('connection', 'close');
  }

  /** From now on answers end their connections. */
  stop(): void {
    this.isStopping = true;
  }

  /** Closes the connections that have no request open. */
  closeIdle(): void {
    for (const [socket, { open }] of this.connections) {
      if (open.length > 0) continue;
      socket.end();
      socket.destroySoon();
    }
  }
}
