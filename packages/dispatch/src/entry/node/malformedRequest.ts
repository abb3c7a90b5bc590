/** Refuses input that the HTTP parser rejects. */
import type { Socket } from 'node:net';
import type { CallerConnections } from './callerConnections.js';

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;
/** Response statuses by the parser's error codes. */
const STATUSES: ReadonlyMap<string, number> = new Map([['HPE_HEADER_OVERFLOW', 431]]);
/** The caller reset the connection, so no response can be sent. */
const CONNECTION_RESET = 'ECONNRESET';

/**
 * Sends an error response and closes the connection.
 *
 * While an earlier request of the connection is waiting for its response, the caller would take the
 * error for that response. The connection is then destroyed without a response.
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
  const canRespond = connections.isIdle(socket) && socket.writable && code !== CONNECTION_RESET;
  if (!canRespond) {
    socket.destroy();
    return;
  }
  writeRefusal(socket, STATUSES.get(code) ?? BAD_REQUEST);
}

/**
 * Refuses a request whose head is not complete in time, and closes the connection; at once if it has already been
 * refused. Must be called only while no earlier request is waiting for its response.
 */
export function refuseLateHead(socket: Socket): void {
  if (socket.writable) writeRefusal(socket, REQUEST_TIMEOUT);
  else socket.destroy();
}

function writeRefusal(socket: Socket, status: number): void {
  socket.end(`HTTP/1.1 ${status} Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
}
