/** Bodies of the stand-ins' HTTP interfaces. */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import VError from 'verror';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Reads a whole body; rejects when the connection breaks first or 64 MiB are exceeded.
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
 * Reads a JSON body. An empty one counts as `{}`.
 *
 * @example
 * const patch = (await readJson(request)) as Partial<ITargetFaults>;
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const text = (await readBody(request)).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

/**
 * Answers with a JSON body of known length.
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
 * Answers with bytes of known length.
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
