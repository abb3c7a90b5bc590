/** Writes responses, either complete or streamed with back-pressure. */
import type { ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { ResponseBody, Header } from '@parsleymux/routing';
import { discardBody } from '@parsleymux/routing';
import { toRawHeaders } from '../common/headers.js';
import { watchConnection } from './connectionWatcher.js';

const CONTENT_LENGTH = 'content-length';
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Head and body of a response to write. */
export interface IOutgoingResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: ResponseBody;
  /** Whether the request was HEAD: the response has no body, but may declare the length of one. */
  readonly isHead?: boolean;
}

/**
 * Resolves when the complete response was passed to the operating system, or its connection is closed.
 * A request counts as in flight until then: exiting earlier would truncate its response.
 *
 * @example
 * await waitForEnd(response);
 */
export function waitForEnd(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    const subscription = watchConnection(response, resolve);
    const finish = () => {
      void subscription.dispose();
      resolve();
    };
    response.once('finish', finish);
    response.once('close', finish);
  });
}

/**
 * Writes one response. When its body fails, the connection is destroyed, so that the receiver detects
 * the truncation: an incomplete response must never look complete.
 *
 * @example
 * await writeResponse(response, { status: 200, headers: [], body: new Uint8Array() });
 */
export async function writeResponse(
  response: ServerResponse,
  outgoing: IOutgoingResponse,
): Promise<void> {
  if (response.destroyed) {
    await discardBody(outgoing.body);
    return;
  }
  if (outgoing.body instanceof Uint8Array) {
    writeComplete(response, outgoing, outgoing.body);
    return;
  }
  response.writeHead(outgoing.status, toRawHeaders(outgoing.headers));
  await streamBody(response, outgoing.body);
}

function writeComplete(
  response: ServerResponse,
  outgoing: IOutgoingResponse,
  body: Uint8Array,
): void {
  const hasBody = outgoing.status !== NO_CONTENT && outgoing.status !== NOT_MODIFIED;
  if (!hasBody || outgoing.isHead === true) {
    response.writeHead(outgoing.status, toRawHeaders(outgoing.headers));
    response.end();
    return;
  }
  // The headers may already contain the length that the source declared. Receivers reject a response
  // with two content lengths as attempted response smuggling.
  const headers = outgoing.headers.filter(([name]) => name !== CONTENT_LENGTH);
  headers.push([CONTENT_LENGTH, String(body.length)]);
  response.writeHead(outgoing.status, toRawHeaders(headers));
  response.end(body);
}

async function streamBody(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  const closed = new AbortController();
  const abort = () => {
    closed.abort();
  };
  const subscription = watchConnection(response, abort);
  response.once('close', abort);
  try {
    for await (const chunk of body) {
      if (response.destroyed || closed.signal.aborted) return;
      if (!response.write(chunk)) await once(response, 'drain', { signal: closed.signal });
    }
    response.end();
  } catch {
    response.destroy();
  } finally {
    void subscription.dispose();
  }
}
