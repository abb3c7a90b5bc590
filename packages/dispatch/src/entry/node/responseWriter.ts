/** Writes responses to callers, and limits those that are not read. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, MemoryBudget } from '@parsleymux/base';
import { RunState } from '@parsleymux/base';
import type { CallerProtocol } from '../common/callerProtocol.js';
import type { IEntryResponse } from '../common/entryRequest.js';
import type { CallerConnections } from './callerConnections.js';

/** Time for which the rest of a refused body is discarded, in ms, so that its caller can read the refusal. */
const LINGER_MS = 1000;
/** Stall limit until a configuration sets it, in ms. */
const INITIAL_STALL_MS = 17_000;

/** Options of a {@link ResponseWriter}. */
export interface IResponseWriterOptions {
  readonly clock: Clock;
  readonly callers: CallerProtocol;
  readonly connections: CallerConnections;
  /** Memory for callers. */
  readonly budget: MemoryBudget;
}

/**
 * Writes one response for each request.
 *
 * @example
 * const responses = new ResponseWriter({ clock, callers, connections, budget });
 * responses.write(request, response, entryResponse, false);
 */
export class ResponseWriter {
  /** Time for which a caller may read nothing of its response, in ms. */
  stallMs = INITIAL_STALL_MS;

  constructor(private readonly options: IResponseWriterOptions) {}

  /** Writes the response; with `mustEnd`, the connection is closed after it. */
  write(
    request: IncomingMessage,
    response: ServerResponse,
    entryResponse: IEntryResponse,
    mustEnd: boolean,
  ): void {
    if (response.destroyed) return;
    this.options.connections.startResponse(request, response, mustEnd);
    const headers = entryResponse.headers.filter(([name]) => name !== 'content-length');
    for (const [name, value] of headers) response.appendHeader(name, value);
    if (entryResponse.runState !== RunState.Ran) {
      const localHeaders = this.options.callers.listLocalResponseHeaders(request.headers);
      for (const [name, value] of localHeaders) response.setHeader(name, value);
    }
    const isHead = request.method === 'HEAD';
    if (!isHead) response.setHeader('content-length', String(entryResponse.body.byteLength));
    response.writeHead(entryResponse.status);
    if (request.complete || !hasBody(request)) {
      response.end(isHead ? undefined : entryResponse.body);
    } else {
      if (!isHead) response.write(entryResponse.body);
      this.endAfterBody(request, response);
    }
    if (response.writableLength > 0) this.watchUnread(request, response);
  }

  /**
   * Closing a connection on which the caller is still sending resets it, and the caller may lose the response.
   * Therefore the rest of the body is discarded first, for a limited time.
   */
  private endAfterBody(request: IncomingMessage, response: ServerResponse): void {
    response.flushHeaders();
    request.resume();
    const end = () => {
      void timer.dispose();
      response.end();
    };
    const timer = this.options.clock.startTimer(LINGER_MS, end);
    request.once('close', end);
    response.once('close', end);
  }

  /** A response stays in memory until it is read: it is counted, and callers that read nothing are disconnected. */
  private watchUnread(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const account = this.options.budget.open(() => socket.destroy());
    response.setTimeout(this.stallMs, () => {
      if (response.writableLength > 0) socket.destroy();
    });
    response.once('close', () => {
      account.close();
      if (!this.options.connections.isIdle(socket)) socket.setTimeout(0);
    });
    account.add(response.writableLength);
  }
}

/** Whether the head of a request announces a body. */
export function hasBody(request: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers;
  return encoding !== undefined || (length !== undefined && length !== '0');
}
