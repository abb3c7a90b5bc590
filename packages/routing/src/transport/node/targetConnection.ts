/** One TCP connection to one target, and the HTTP client that is bound to it. */
import type { IDisposable } from '@parsleymux/base';
import type { Dispatcher } from 'undici';
import { Client } from 'undici';
import VError from 'verror';
import { FramingLimit, FramingLimitError } from './framingLimit.js';
import { PausableSocket } from './pausableSocket.js';
import type { TargetConnector } from './targetConnector.js';

/** Headers are buffered before they can be checked, so their size is limited. */
const MAX_RESPONSE_HEADER_BYTES = 65_536;
/**
 * Many servers close idle connections after 5 s; closing first avoids sending into a closing one.
 */
const KEEP_ALIVE_MS = 4000;
/** Upper bound of the keep-alive times that servers announce, in ms. */
const MAX_KEEP_ALIVE_MS = 30_000;
/**
 * Subtracted from announced keep-alive times, in ms: the server counts from its last byte, and a
 * request takes time to arrive.
 */
const KEEP_ALIVE_MARGIN_MS = 1500;

/** Options of {@link openConnection}. */
export interface IOpenConnectionOptions {
  readonly target: string;
  readonly connector: TargetConnector;
  /** Connections of an older generation than their pool's are not used again. */
  readonly generation: number;
  /** Aborting it cancels the connect and closes the socket. */
  readonly signal: AbortSignal;
}

/**
 * Opens a connection. Rejects when connecting fails or `signal` aborts first.
 *
 * @example
 * const connection = await openConnection({ target: '127.0.0.1:9001', connector, generation: 0, signal });
 */
export function openConnection(options: IOpenConnectionOptions): Promise<TargetConnection> {
  const { signal } = options;
  return new Promise((resolve, reject) => {
    if (signal.aborted) {
      reject(new VError('cancelled before connecting'));
      return;
    }
    const socket = new PausableSocket();
    socket.setNoDelay(true);
    options.connector.open(socket, options.target);
    const fail = (cause?: Error) => {
      signal.removeEventListener('abort', onAbort);
      socket.destroy();
      reject(new VError(cause === undefined ? {} : { cause }, 'connecting failed'));
    };
    const onAbort = () => {
      fail();
    };
    signal.addEventListener('abort', onAbort, { once: true });
    socket.once('error', fail);
    socket.once('connect', () => {
      signal.removeEventListener('abort', onAbort);
      socket.off('error', fail);
      resolve(new TargetConnection(socket, options.target, options.generation));
    });
  });
}

/**
 * A connection that carries one request at a time.
 *
 * The HTTP client receives this one socket and no other. A client that may reconnect could resend a
 * request after its connection broke, and the target would execute it twice unnoticed. Bound to one
 * socket, the client can only fail.
 */
export class TargetConnection implements IDisposable {
  readonly generation: number;
  /** Number of requests dispatched on this connection. */
  private dispatched = 0;
  private readonly client: Client;
  private readonly socket: PausableSocket;
  private isSocketTaken = false;
  /** Applies to the current response, and to what the target sends after it. */
  private framingLimit = new FramingLimit();

  constructor(socket: PausableSocket, target: string, generation: number) {
    this.socket = socket;
    this.generation = generation;
    // Without a listener, a reset of an idle connection would be an uncaught error and end the
    // process.
    socket.on('error', () => undefined);
    socket.checkChunk = (bytes) => this.checkFraming(bytes);
    this.client = new Client(`http://${target}`, {
      pipelining: 1,
      // The exchange enforces timeouts on the injected clock.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: (_options, callback) => {
        const isUsable = !this.isSocketTaken && !socket.destroyed;
        this.isSocketTaken = true;
        // undici drops a connection that it receives synchronously within the connect call.
        queueMicrotask(() => {
          if (isUsable) callback(null, socket);
          else callback(new VError('connection has already been used'), null);
        });
      },
    });
  }

  /** Whether another request may be sent on it. */
  get isOpen(): boolean {
    return !this.socket.destroyed && this.socket.writable && !this.client.destroyed;
  }

  /** Whether a request was sent on it before. */
  get isReused(): boolean {
    return this.dispatched > 1;
  }

  /** Bytes written to the socket so far, whether or not they were sent. */
  get bytesWritten(): number {
    return this.socket.bytesWritten;
  }

  /** Whether bytes that were written have not been passed to the operating system. */
  get hasUnsentBytes(): boolean {
    return this.socket.writableLength > 0;
  }

  /**
   * Verifies the end of the current response, which ends with the connection; see PausableSocket.
   */
  startEndCheck(): void {
    this.socket.startEndCheck();
  }

  /** Whether the target ended its side in an orderly way and all its data was read. */
  get hasEndedCleanly(): boolean {
    return this.socket.readableEnded;
  }

  /**
   * Sends a request; the handler receives all further events. If the response has much more framing than
   * body, the connection is closed with a {@link FramingLimitError}.
   */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.dispatched += 1;
    this.framingLimit = new FramingLimit();
    this.socket.markResponseDue();
    this.client.dispatch(options, handler);
  }

  /** Must be called with the size of each part of a body. */
  recordBody(bytes: number): void {
    this.framingLimit.recordBody(bytes);
  }

  /** Stops reading the response until {@link startReading}. */
  stopReading(): void {
    this.socket.stopReading();
  }

  startReading(): void {
    this.socket.startReading();
  }

  /** Calls `listener` once when the socket is closed, by whichever side. */
  onDidClose(listener: () => void): void {
    this.socket.once('close', listener);
  }

  dispose(): void {
    this.socket.destroy();
    void this.client.destroy().catch(() => undefined);
  }

  private checkFraming(bytes: number): boolean {
    if (this.framingLimit.tryRead(bytes)) return true;
    this.socket.destroy(new FramingLimitError());
    return false;
  }
}
