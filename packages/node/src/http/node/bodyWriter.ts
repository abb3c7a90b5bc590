/** Writing of answers, whole or streamed with back-pressure. */
import type { ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { ResponseBody, Header } from '@parsleymux/routing';
import { discardBody } from '@parsleymux/routing';
import { toRawHeaders } from '../common/headers.js';

const CONTENT_LENGTH = 'content-length';
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Head and body of what is written. */
export interface IOutgoing {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: ResponseBody;
  /** The request was HEAD: the answer has no body, but may declare the length of one. */
  readonly isHead?: boolean;
}

/**
 * Resolves when the response was handed to the operating system whole, or its connection is gone.
 * A request counts as in flight until then: to exit sooner would cut the end off its answer.
 *
 * @example
 * await waitForEnd(response);
 */
export function waitForEnd(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
  });
}

/**
 * Writes one answer. A body that breaks off destroys the connection, so that the receiver sees
 * a cut instead of an end: half an answer must never look whole.
 *
 * @example
 * await writeAnswer(response, { status: 200, headers: [], body: new Uint8Array() });
 */
export async function writeAnswer(response: ServerResponse, outgoing: IOutgoing): Promise<void> {
  if (response.destroyed) {
    await discardBody(outgoing.body);
    return;
  }
  if (outgoing.body instanceof Uint8Array) {
    writeWhole(response, outgoing, outgoing.body);
    return;
  }
  response.writeHead(outgoing.status, toRawHeaders(outgoing.headers));
  await streamBody(response, outgoing.body);
}

function writeWhole(response: ServerResponse, outgoing: IOutgoing, body: Uint8Array): void {
  const hasBody = outgoing.status !== NO_CONTENT && outgoing.status !== NOT_MODIFIED;
  if (!hasBody || outgoing.isHead === true) {
    response.writeHead(outgoing.status, toRawHeaders(outgoing.headers));
    response.end();
    return;
  }
  // The source's own length may stand among the headers; two of them make an answer that
  // receivers refuse as an attempt to smuggle.
  const headers = outgoing.headers.filter(([name]) => name !== CONTENT_LENGTH);
  headers.push([CONTENT_LENGTH, String(body.length)]);
  response.writeHead(outgoing.status, toRawHeaders(headers));
  response.end(body);
}

async function streamBody(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  const gone = new AbortController();
  response.once('close', () => {
    gone.abort();
  });
  try {
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk)) await once(response, 'drain', { signal: gone.signal });
    }
    response.end();
  } catch {
    response.destroy();
  }
}
