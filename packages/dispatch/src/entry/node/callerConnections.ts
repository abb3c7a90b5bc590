/** Tracks callers' connections and their open requests, limits them, and closes connections when the node stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, IDisposable, MemoryAccount, MemoryBudget } from '@parsleymux/base';
import { PipelineLimit } from '@parsleymux/base';

/** Memory of a connection and of a request without its headers and body, in bytes. */
const CONNECTION_BYTES = 8192;
const REQUEST_BYTES = 8192;
/** Interval of the checks for connections that send nothing, or no complete head, in ms. */
const CHECK_INTERVAL_MS = 1000;

/** Options of a {@link CallerConnections}. */
export interface ICallerConnectionsOptions {
  readonly server: Server;
  readonly clock: Clock;
  /** Memory for callers. */
  readonly budget: MemoryBudget;
  /** Refuses the head of a request that is not complete in time, and closes the connection. */
  readonly onLateHead: (socket: Socket) => void;
}

/** How long a caller may take, in ms. */
export interface ICallerTimeouts {
  /** From the first byte of a head to its last one. */
  readonly headMs: number;
  /** From the connect to the first byte of a request. */
  readonly idleMs: number;
}

interface IOpenRequest {
  readonly request: IncomingMessage;
  /** Aborts if the connection is closed before the response is complete. */
  readonly disconnected: AbortController;
  readonly bytes: number;
  /** Whether its response has been written, so that it can no longer announce the close. */
  hasResponse: boolean;
}

interface IConnection {
  /** Requests without a complete response, in the order of arrival. */
  readonly open: IOpenRequest[];
  /** Memory of the connection, its requests and an incomplete head. */
  readonly account: MemoryAccount;
  /** Whether a response has announced the close of the connection: later requests are not handled. */
  isClosing: boolean;
  /** Whether it has carried a request. */
  isUsed: boolean;
  /** Bytes read at the end of the last request: further ones are of an incomplete head. */
  readBytes: number;
  /** Size of the incomplete head at the last check. */
  headBytes: number;
  /** When the connection became idle, or the current head was first seen, in ms of the monotonic clock. */
  sinceMs: number;
}

/**
 * Closes connections without losing a request.
 *
 * A request that was forwarded to a target runs even if its connection closes, but its response is lost.
 * A response therefore announces the close (`connection: close`) only if no other request is pending
 * behind it. Requests behind such a response are dropped unread, so callers can safely resend them to
 * another node.
 */
export class CallerConnections implements IDisposable {
  private readonly connections = new Map<Socket, IConnection>();
  private readonly pipelines: PipelineLimit;
  private isStopping = false;
  private timer: IDisposable | undefined;
  /** Whether any caller has connected since the start. */
  hasAcceptedConnection = false;
  /** Default: no limits. */
  timeouts: ICallerTimeouts = { headMs: Infinity, idleMs: Infinity };

  constructor(private readonly options: ICallerConnectionsOptions) {
    this.pipelines = new PipelineLimit({
      server: options.server,
      countOpen: (socket) => this.connections.get(socket)?.open.length ?? 0,
    });
  }

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
    const account = this.options.budget.open(() => socket.destroy());
    this.connections.set(socket, {
      open: [],
      account,
      isClosing: false,
      isUsed: false,
      readBytes: 0,
      headBytes: 0,
      sinceMs: this.options.clock.getMonotonicTime(),
    });
    socket.once('close', () => {
      this.handleClose(socket);
    });
    account.add(CONNECTION_BYTES);
    this.timer ??= this.startChecks();
  }

  /**
   * Returns a signal that aborts if the caller disconnects before the response is complete; undefined if the
   * request is behind a response that announces the close, and must not be handled.
   */
  startRequest(request: IncomingMessage, headerBytes: number): AbortSignal | undefined {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.isClosing || socket.destroyed) return undefined;
    // If a stopping node accepted it, a caller that always has another request pending would never see a close.
    if (this.isStopping && connection.open.at(-1)?.hasResponse === false) return undefined;
    const disconnected = new AbortController();
    const bytes = REQUEST_BYTES + headerBytes;
    connection.open.push({ request, disconnected, bytes, hasResponse: false });
    connection.isUsed = true;
    connection.account.add(bytes - connection.headBytes);
    connection.headBytes = 0;
    return disconnected.signal;
  }

  /** Must be called when the response to a request is complete. */
  endRequest(request: IncomingMessage): void {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    const index = connection.open.findIndex((entry) => entry.request === request);
    if (index === -1) return;
    const [ended] = connection.open.splice(index, 1);
    connection.account.add(-(ended?.bytes ?? 0));
    this.pipelines.startReading(socket);
    if (connection.open.length > 0) return;
    connection.readBytes = socket.bytesRead;
    connection.sinceMs = this.options.clock.getMonotonicTime();
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

  dispose(): void {
    void this.timer?.dispose();
  }

  private startChecks(): IDisposable {
    return this.options.clock.startTimer(CHECK_INTERVAL_MS, () => {
      for (const [socket, connection] of this.connections) this.checkIdle(socket, connection);
      this.timer = this.connections.size === 0 ? undefined : this.startChecks();
    });
  }

  /**
   * Closes a connection that is idle for too long or whose head is incomplete for too long. While a request is open, the
   * node itself may have stopped reading, so that the caller can't complete the next one.
   */
  private checkIdle(socket: Socket, connection: IConnection): void {
    if (connection.open.length > 0) return;
    const { headMs, idleMs } = this.timeouts;
    const nowMs = this.options.clock.getMonotonicTime();
    const headBytes = socket.bytesRead - connection.readBytes;
    if (headBytes > 0 && connection.headBytes === 0) connection.sinceMs = nowMs;
    const change = headBytes - connection.headBytes;
    connection.headBytes = headBytes;
    connection.account.add(change);
    const ageMs = nowMs - connection.sinceMs;
    if (headBytes > 0 && ageMs >= headMs) this.options.onLateHead(socket);
    else if (headBytes === 0 && ageMs >= idleMs && !connection.isUsed) socket.destroy();
  }

  /**
   * Node.js emits the close only for the response that is being written. The responses behind it have no
   * connection yet, so that their requests would go on although nobody receives the responses.
   */
  private handleClose(socket: Socket): void {
    const connection = this.connections.get(socket);
    this.connections.delete(socket);
    connection?.account.close();
    for (const { disconnected } of connection?.open ?? []) {
      disconnected.abort(new Error('caller disconnected'));
    }
  }
}
