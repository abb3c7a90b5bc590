/** One request at a target stand-in, with its timeout and the state of its caller's connection. */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { IDisposable } from '@parsleymux/base';

const NO_BYTES = Buffer.alloc(0);

/**
 * A request and its response. Its signal aborts when the connection closes or the timeout expires.
 *
 * @example
 * const exchange = new Exchange(request, response);
 * exchange.signal.throwIfAborted();
 * exchange.dispose();
 */
export class Exchange implements IDisposable {
  readonly method: string;
  readonly path: string;
  /** Empty when the request has none. */
  readonly key: string;
  readonly requestId: string;
  readonly signal: AbortSignal;
  readonly socket: Socket;
  private readonly abort = new AbortController();
  private readonly timer: NodeJS.Timeout | undefined;
  private receivedBody: Buffer = NO_BYTES;
  private callerDisconnected = false;

  constructor(
    request: IncomingMessage,
    readonly response: ServerResponse,
  ) {
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.key = getHeader(request, 'idempotency-key');
    this.requestId = getHeader(request, 'x-request-id');
    this.signal = this.abort.signal;
    this.socket = request.socket;
    this.timer = this.startTimeout(getHeader(request, 'parsleymux-timeout-ms'));
    response.once('close', () => {
      this.callerDisconnected = !response.writableFinished;
      this.abort.abort(new Error('the caller disconnected'));
    });
  }

  get body(): Buffer {
    return this.receivedBody;
  }

  setBody(body: Buffer): void {
    this.receivedBody = body;
  }

  isCallerDisconnected(): boolean {
    return this.callerDisconnected;
  }

  /** Sends a content-length for the complete body, but only half of the body, and closes the connection. */
  sendTruncated(status: number, body: Uint8Array, headers: OutgoingHttpHeaders): void {
    this.response.writeHead(status, { 'content-length': body.length, ...headers });
    this.response.write(body.subarray(0, body.length >> 1), () => {
      this.response.destroy();
    });
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  private startTimeout(header: string): NodeJS.Timeout | undefined {
    if (header === '') return undefined;
    return setTimeout(() => {
      this.abort.abort(new Error('the timeout expired'));
    }, Number(header));
  }
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
