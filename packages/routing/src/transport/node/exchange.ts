/** Sends one request on one connection and reads its response. */
import type { Clock, InvariantRegistry, MemoryBudget } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { Dispatcher } from 'undici';
import { errors } from 'undici';
import VError from 'verror';
import type { ResponseBody, Header } from '../../request/common/request.js';
import { findHeader, removeHopByHopHeaders, removeFleetHeaders } from '../common/hopHeaders.js';
import type { TargetProtocol } from '../common/targetProtocol.js';
import type { ITargetResponse } from '../common/targetTransport.js';
import { TransportError, TransportFailure } from '../common/targetTransport.js';
import { FIRST_FINAL_STATUS, isFinalStatus } from '../common/responseStatus.js';
import { ResponseStream } from './responseStream.js';
import type { AttemptSignal } from './attemptSignal.js';
import { FramingLimitError } from './framingLimit.js';
import { ResponseBuffer } from './responseBuffer.js';
import type { TargetConnection } from './targetConnection.js';

/** Statuses whose responses have no body, whatever their headers declare. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Options of an {@link Exchange}. */
export interface IExchangeOptions {
  readonly connection: TargetConnection;
  readonly request: Dispatcher.DispatchOptions;
  readonly protocol: TargetProtocol;
  /** Expected value of the protocol's correlation header, if the target echoes it. */
  readonly correlation: string;
  readonly attempt: AttemptSignal;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  /** Memory of all incomplete responses. */
  readonly memory: MemoryBudget;
  readonly maxResponseBytes: number;
  readonly streamLarge: boolean;
  /** Maximum time without data on a streamed response while its reader waits, in ms. */
  readonly streamIdleMs: number;
  /** Called when the response is complete, so that the connection may be reused. */
  readonly onComplete: () => void;
  /** Called once when the exchange has ended, successfully or not. */
  readonly onEnd: () => void;
}

interface IResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly contentLength: number | undefined;
  readonly latencyMs: number;
}

interface IResponseWaiter {
  readonly resolve: (response: ITargetResponse) => void;
  readonly reject: (error: TransportError) => void;
}

/**
 * Reads a response until it is complete. In all other cases the connection is closed: data still in
 * transit would otherwise be read as the response to the next request.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  private readonly options: IExchangeOptions;
  private readonly startMs: number;
  private readonly startBytes: number;
  private waiter: IResponseWaiter | undefined;
  private head: IResponseHead | undefined;
  private readonly buffer: ResponseBuffer;
  private receivedBytes = 0;
  private stream: ResponseStream | undefined;
  private isEnded = false;
  private isUnbounded = false;

  constructor(options: IExchangeOptions) {
    this.options = options;
    this.startMs = options.clock.getMonotonicTime();
    this.startBytes = options.connection.bytesWritten;
    this.buffer = new ResponseBuffer(options.memory, () => {
      this.endTooLarge();
    });
  }

  /**
   * Sends the request. Resolves with a complete or streamed response of any status; rejects with a
   * TransportError.
   */
  run(): Promise<ITargetResponse> {
    const { attempt, connection, request } = this.options;
    return new Promise((resolve, reject) => {
      this.waiter = { resolve, reject };
      attempt.signal.addEventListener('abort', this.onAbort, { once: true });
      try {
        connection.dispatch(request, this);
      } catch (error) {
        this.end(TransportFailure.Broken, error);
      }
    });
  }

  onRequestStart(): void {
    // undici recognizes handlers of the current interface by this method.
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    // The client reports interim responses, too.
    if (this.isEnded || status < FIRST_FINAL_STATUS) return;
    if (!isFinalStatus(status)) {
      this.end(TransportFailure.Broken, new VError('status %d is not defined', status));
      return;
    }
    const headers = toHeaders(controller.rawHeaders);
    const latencyMs = this.options.clock.getMonotonicTime() - this.startMs;
    this.head = {
      status,
      headers,
      contentLength: this.parseContentLength(status, headers),
      latencyMs,
    };
    const fault = this.findHeaderFault(this.head);
    if (fault !== undefined) {
      this.end(fault.failure, new VError(fault.reason));
      return;
    }
    if (this.isDelimitedByClose(this.head)) this.options.connection.startEndCheck();
    const isLarge = (this.head.contentLength ?? 0) > this.options.maxResponseBytes;
    if (isLarge) this.startStream();
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isEnded) return;
    this.receivedBytes += chunk.byteLength;
    this.options.connection.recordBody(chunk.byteLength);
    if (this.stream !== undefined) {
      if (!this.stream.push(chunk)) this.options.connection.stopReading();
      return;
    }
    this.buffer.push(chunk);
    if (this.receivedBytes > this.options.maxResponseBytes) this.startStream();
  }

  onResponseEnd(): void {
    if (this.isEnded || this.head === undefined) return;
    const { contentLength } = this.head;
    const isComplete = this.options.invariants.check(
      InvariantName.CompleteResponse,
      contentLength === undefined || contentLength === this.receivedBytes,
      () => `response of ${this.receivedBytes} bytes, content-length ${contentLength ?? -1}`,
    );
    if (!isComplete || !this.isEndOrderly(this.head)) {
      this.end(TransportFailure.Truncated);
      return;
    }
    const body = joinChunks(this.buffer.take());
    this.finish();
    this.options.connection.startReading();
    // The memory of the request is released once it is answered, so that the rest can't be sent later.
    if (this.options.connection.hasUnsentBytes) this.options.connection.dispose();
    this.options.onComplete();
    if (this.stream !== undefined) this.stream.end();
    else this.waiter?.resolve(this.makeResponse(this.head, body));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    // undici expects the body that a 304's content-length declares, but a 304 never has one.
    const isComplete = this.head !== undefined && BODILESS_STATUSES.has(this.head.status);
    if (isComplete) {
      this.onResponseEnd();
      return;
    }
    const isTruncated = this.head !== undefined || isFramingError(error);
    this.end(isTruncated ? TransportFailure.Truncated : TransportFailure.Broken, error);
  }

  private readonly onAbort = (): void => {
    this.end(this.options.attempt.failure);
  };

  /** Fails the exchange: closes the connection and rejects the pending read. */
  private end(failure: TransportFailure, cause?: unknown): void {
    if (this.isEnded) return;
    this.finish();
    const { connection } = this.options;
    // Closed first, so that no more bytes can be written when mayHaveRun is determined.
    connection.dispose();
    const error = new TransportError({
      failure,
      mayHaveRun: connection.bytesWritten > this.startBytes,
      reusedConnection: connection.isReused,
      isUnbounded: this.isUnbounded,
      cause,
    });
    if (this.stream === undefined) this.waiter?.reject(error);
    else this.stream.close(error);
  }

  private finish(): void {
    this.isEnded = true;
    this.buffer.dispose();
    this.options.attempt.signal.removeEventListener('abort', this.onAbort);
    this.options.onEnd();
  }

  private endTooLarge(): void {
    this.isUnbounded = this.head?.contentLength === undefined;
    this.end(TransportFailure.TooLarge);
  }

  private startStream(): void {
    const { attempt, streamIdleMs, streamLarge } = this.options;
    if (this.isEnded || this.head === undefined) return;
    if (!streamLarge) {
      this.endTooLarge();
      return;
    }
    this.stream = new ResponseStream({
      resumeSource: () => {
        this.options.connection.startReading();
      },
      onReadPendingChange: (isPending) => {
        if (!this.isEnded) attempt.setTimeLimit(isPending ? streamIdleMs : undefined);
      },
      onAbandoned: () => {
        this.end(TransportFailure.Cancelled);
      },
    });
    attempt.setTimeLimit(undefined);
    const isFull = this.buffer
      .take()
      .map((chunk) => this.stream?.push(chunk))
      .includes(false);
    if (isFull) this.options.connection.stopReading();
    this.waiter?.resolve(this.makeResponse(this.head, this.stream));
  }

  private makeResponse(head: IResponseHead, body: ResponseBody): ITargetResponse {
    const { status, headers, latencyMs } = head;
    return {
      status,
      headers: removeFleetHeaders(removeHopByHopHeaders(headers)),
      body,
      notRun: this.options.protocol.isNotRun(status, headers),
      draining: this.options.protocol.isDraining(headers),
      rateLimit: this.options.protocol.readRateLimit(headers),
      latencyMs,
    };
  }

  /** Expected length of the body in bytes; undefined when only the framing determines it. */
  private parseContentLength(status: number, headers: readonly Header[]): number | undefined {
    if (this.isBodiless(status)) return undefined;
    const text = findHeader(headers, 'content-length');
    return text === undefined ? undefined : Number(text);
  }

  /**
   * undici handles a reset as the end of a response that only the end of its connection delimits. A
   * truncated response would reach the caller as a complete one, so only an orderly end is
   * accepted.
   */
  private isEndOrderly(head: IResponseHead): boolean {
    return !this.isDelimitedByClose(head) || this.options.connection.hasEndedCleanly;
  }

  private isDelimitedByClose(head: IResponseHead): boolean {
    return !this.isBodiless(head.status) && !isFramed(head);
  }

  private isBodiless(status: number): boolean {
    return this.options.request.method === 'HEAD' || BODILESS_STATUSES.has(status);
  }

  private findHeaderFault(
    head: IResponseHead,
  ): { readonly failure: TransportFailure; readonly reason: string } | undefined {
    const { correlation, protocol } = this.options;
    const echoed = findHeader(head.headers, protocol.correlationHeader);
    if (echoed !== undefined && echoed !== correlation) {
      return { failure: TransportFailure.Broken, reason: 'response belongs to another attempt' };
    }
    // A body delimited by the end of the connection looks complete wherever it is truncated.
    if (this.isBodiless(head.status) || isFramed(head)) return undefined;
    if (protocol.acceptsUnframed && !hasEncoding(head)) return undefined;
    return { failure: TransportFailure.Truncated, reason: 'response has no framing of its own' };
  }
}

/**
 * A transfer encoding that does not end in `chunked` is delimited by the end of the connection, as
 * is a response without any.
 */
function isFramed(head: IResponseHead): boolean {
  const encodings = head.headers.filter(([name]) => name === 'transfer-encoding');
  if (encodings.length === 0) return head.contentLength !== undefined;
  return /(^|,)\s*chunked\s*$/i.test(encodings.map(([, value]) => value).join(','));
}

function hasEncoding(head: IResponseHead): boolean {
  return findHeader(head.headers, 'transfer-encoding') !== undefined;
}

function joinChunks(chunks: readonly Uint8Array[]): Uint8Array {
  const [first] = chunks;
  return first !== undefined && chunks.length === 1 ? first : Buffer.concat(chunks);
}

function isFramingError(error: Error): boolean {
  return (
    error instanceof errors.HTTPParserError ||
    error instanceof errors.ResponseContentLengthMismatchError ||
    error instanceof errors.HeadersOverflowError ||
    error instanceof FramingLimitError
  );
}

function toHeaders(raw: Dispatcher.DispatchController['rawHeaders']): readonly Header[] {
  if (!Array.isArray(raw)) return [];
  const headers: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = toText(raw[index]).toLowerCase();
    headers.push([name, toText(raw[index + 1])]);
  }
  return headers;
}

/** Header bytes are passed on unchanged; latin1 preserves each byte. */
function toText(value: Buffer | string | undefined): string {
  if (value === undefined) return '';
  return typeof value === 'string' ? value : value.toString('latin1');
}
