/** One TCP connection to one target, and the HTTP client that is bound to it. */
import type { IDisposable } from '@parsleymux/base';
import type { Dispatcher } from 'undici';
import { Client } from 'undici';
import VError from 'verror';
import { PausableSocket } from './pausableSocket.js';
import { parseTargetAddress } from './targetAddress.js';

/** Large header sections cost memory before anything can be judged. */
const MAX_RESPONSE_HEADER_BYTES = 65_536;
/** Many servers close idle connections after 5 s; closing first avoids sending into a close. */
const KEEP_ALIVE_MS = 4000;
/** Servers that say how long they keep idle connections are taken at their word up to this, in ms. */
const MAX_KEEP_ALIVE_MS = 30_000;
/** Their word less this, in ms: their clock runs from their last byte, and a request takes its way. */
const KEEP_ALIVE_MARGIN_MS = 1500;

/** Options of {@link openConnection}. */
export interface IOpenConnectionOptions {
  readonly target: string;
  /** Connections of an older generation than their pool's are not used again. */
  readonly generation: number;
  /** Aborting it gives up and closes the socket. */
  readonly signal: AbortSignal;
}

/**
 * Opens a connection. Rejects when it cannot be made or `signal` aborts first.
 *
 * @example
 * const connection = await openConnection({ target: '127.0.0.1:9001', generation: 0, signal });
 */
export function openConnection(options: IOpenConnectionOptions): Promise<TargetConnection> {
  const { signal } = options;
  return new Promise((resolve, reject) => {
    if (signal.aborted) {
      reject(new VError('gave up before connecting'));
      return;
    }
    const socket = new PausableSocket();
    socket.setNoDelay(true);
    socket.connect(parseTargetAddress(options.target));
    const fail = (cause?: Error) => {
      signal.removeEventListener('abort', onAbort);
      socket.destroy();
      reject(new VError(cause === undefined ? {} : { cause }, 'no connection'));
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
 * The HTTP client is handed this one socket and refused any other. A client that may reconnect
 * could send a request a second time after the first connection broke, and a target would then
 * execute it twice without anybody noticing; bound to one socket it can only fail.
 */
export class TargetConnection implements IDisposable {
  readonly generation: number;
  /** Requests that were given to this connection. */
  private dispatched = 0;
  private readonly client: Client;
  private readonly socket: PausableSocket;
  private isSocketTaken = false;

  constructor(socket: PausableSocket, target: string, generation: number) {
    this.socket = socket;
    this.generation = generation;
    // Without a listener a reset that arrives while the connection is idle would end the process.
    socket.on('error', () => undefined);
    this.client = new Client(`http://${target}`, {
      pipelining: 1,
      // Timeouts are kept by the exchange, on the injected clock.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: (_options, callback) => {
        const isUsable = !this.isSocketTaken && !socket.destroyed;
        this.isSocketTaken = true;
        // The client drops a connection that it is given while it still asks for one.
        queueMicrotask(() => {
          if (isUsable) callback(null, socket);
          else callback(new VError('connection is used up'), null);
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

  /** Bytes that were handed to the socket so far, whether or not they left the machine. */
  get bytesWritten(): number {
    return this.socket.bytesWritten;
  }

  /** The answer that arrives now ends with the connection; see PausableSocket. */
  startEndCheck(): void {
    this.socket.startEndCheck();
  }

  /** Whether the target ended its side, and all that it sent was read. */
  get hasEndedCleanly(): boolean {
    return this.socket.readableEnded;
  }

  /** Sends a request; the handler hears of everything that follows. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.dispatched += 1;
    this.client.dispatch(options, handler);
  }

  /** Lets no more of the answer in until {@link startReading}. */
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
}
