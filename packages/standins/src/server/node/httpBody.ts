/** Reads and sends HTTP bodies of the stand-ins. */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import VError from 'verror';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Reads a complete body; rejects when the connection breaks or the body exceeds 64 MiB.
 *
 * @example
 * const bytes = await readBody(request);
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > MAX_BODY_BYTES) throw new VError('body exceeds %d bytes', MAX_BODY_BYTES);
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

/**
 * Reads a JSON body. An empty body is read as `{}`.
 *
 * @example
 * const patch = (await readJson(request)) as Partial<ITargetFaults>;
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const text = (await readBody(request)).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

/**
 * Sends a response with a JSON body and a content-length.
 *
 * @example
 * sendJson(response, 404, { error: 'no such path' });
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  sendBytes(response, status, Buffer.from(JSON.stringify(value)), {
    'content-type': 'application/json',
    ...headers,
  });
}

/**
 * Sends a response with a body of bytes and a content-length.
 *
 * @example
 * sendBytes(response, 200, bytes, { 'content-type': 'text/plain' });
 */
export function sendBytes(
  response: ServerResponse,
  status: number,
  bytes: Uint8Array,
  headers: OutgoingHttpHeaders = {},
): void {
  response.writeHead(status, { 'content-length': bytes.length, ...headers });
  response.end(bytes);
}
