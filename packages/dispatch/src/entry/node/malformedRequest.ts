/** Answers to what is no request. */
import type { Socket } from 'node:net';
import type { CallerConnections } from './callerConnections.js';

const BAD_REQUEST = 400;
/** Statuses of what the parser refuses, by its codes. */
const STATUSES: ReadonlyMap<string, number> = new Map([
  ['HPE_HEADER_OVERFLOW', 431],
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);
/** The caller broke the connection off: nobody is left to be answered. */
const RESET = 'ECONNRESET';

/**
 * Answers and ends the connection.
 *
 * While a request of the connection waits for its answer, the refusal of what came behind would be
 * taken for that answer; the connection is cut instead, which claims nothing.
 *
 * @example
 * server.on('clientError', (error, socket) => refuseMalformed(error, socket, connections));
 */
export function refuseMalformed(
  error: Error,
  socket: Socket,
  connections: CallerConnections,
): void {
  const code = (error as { readonly code?: string }).code ?? '';
  const canAnswer = connections.isIdle(socket) && socket.writable && code !== RESET;
  if (!canAnswer) {
    socket.destroy();
    return;
  }
  const status = STATUSES.get(code) ?? BAD_REQUEST;
  socket.end(`HTTP/1.1 ${status} Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
}
