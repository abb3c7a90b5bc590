/** Writes refusals with a result code to callers, with or without a request that they belong to. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { MuxError } from '@parsleymux/base';
import { formatRetryAfter, getResultInfo, getRetryAfterMs } from '@parsleymux/base';
import type { Header } from '@parsleymux/routing';
import { HeaderName } from '../../http/common/headers.js';
import type { IRefusalBody } from '../../http/common/refusal.js';
import { writeResponse } from '../../http/node/bodyWriter.js';

/** Time that a caller has to read the refusal of malformed input, in ms. */
const LINGER_MS = 1000;

/**
 * Responds to a request with a refusal. If a response has already begun, closes the connection instead.
 *
 * @example
 * await writeRefusal(request, response, toMuxError(error), [['connection', 'close']]);
 */
export async function writeRefusal(
  request: IncomingMessage,
  response: ServerResponse,
  refusal: MuxError,
  extra: readonly Header[],
): Promise<void> {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const headers: Header[] = [...listRefusalHeaders(refusal), ...extra];
  // The rest of a body that was not read would be parsed as the next request.
  if (hasUnreadBody(request)) headers.push(['connection', 'close']);
  const status = getResultInfo(refusal.code).httpStatus;
  const body = Buffer.from(JSON.stringify(createRefusalBody(refusal)));
  await writeResponse(response, { status, headers, body, isHead: request.method === 'HEAD' });
}

/**
 * Writes a refusal to a connection on which no request could be parsed, and ends it.
 *
 * @example
 * server.on('clientError', (error, socket) => writeRawRefusal(socket, refusal));
 */
export function writeRawRefusal(socket: Duplex, refusal: MuxError): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify(createRefusalBody(refusal));
  const headers: Header[] = [
    ...listRefusalHeaders(refusal),
    ['content-length', String(Buffer.byteLength(body))],
    ['connection', 'close'],
  ];
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  const { httpStatus } = getResultInfo(refusal.code);
  socket.end(`HTTP/1.1 ${httpStatus} Refused\r\n${lines}\r\n${body}`);
  // A caller that never closes its side would keep the connection open forever; destroying it
  // immediately could reset it before the refusal is read.
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once('close', () => {
    clearTimeout(timer);
  });
}

function listRefusalHeaders(refusal: MuxError): readonly Header[] {
  const headers: Header[] = [
    ['content-type', 'application/json'],
    [HeaderName.Result, String(refusal.code)],
    [HeaderName.RunState, refusal.runState],
  ];
  const retryAfter = formatRetryAfter(refusal);
  if (retryAfter === undefined) return headers;
  headers.push([HeaderName.RetryAfter, retryAfter]);
  headers.push([HeaderName.RetryAfterMs, String(getRetryAfterMs(refusal))]);
  return headers;
}

function createRefusalBody(refusal: MuxError): IRefusalBody {
  const retryAfterMs = getRetryAfterMs(refusal);
  return {
    code: refusal.code,
    name: getResultInfo(refusal.code).name,
    message: refusal.message,
    runState: refusal.runState,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

function hasUnreadBody(request: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers;
  return !request.complete && ((length !== undefined && length !== '0') || encoding !== undefined);
}
