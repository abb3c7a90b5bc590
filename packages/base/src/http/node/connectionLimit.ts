/** Limits the open connections of a server, at the expense of those that are not in use. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Options of {@link setConnectionLimit}. */
export interface IConnectionLimitOptions {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Whether a connection may be closed, because no request of it is in progress. */
  readonly isIdle: (socket: Socket) => boolean;
}

/**
 * Closes the connection that has been idle for longest when there are too many, or the new one if none is idle: a
 * client that holds connections without using them then does not keep others out.
 *
 * @example
 * setConnectionLimit(server, { maxConnections: 100, isIdle });
 */
export function setConnectionLimit(server: Server, options: IConnectionLimitOptions): void {
  /** In the order in which they were opened or last used. */
  const open = new Set<Socket>();
  const event = getConnectionEvent(server);
  // Connections whose TLS handshake is not complete have no event of their own.
  if (event === 'secureConnection') server.maxConnections = options.maxConnections * 2;
  server.on(event, (socket: Socket) => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    if (open.size <= options.maxConnections) return;
    const excess = [...open].find((one) => one !== socket && options.isIdle(one)) ?? socket;
    open.delete(excess);
    excess.destroy();
  });
  server.on('request', ({ socket }) => {
    if (!open.delete(socket)) return;
    open.add(socket);
  });
}

/**
 * Returns the event whose sockets are those of the requests: over TLS, not those of the TCP connections. The class of
 * the server is not used, since that would load the TLS module into programs that don't need it.
 */
export function getConnectionEvent(server: Server): 'connection' | 'secureConnection' {
  return 'setSecureContext' in server ? 'secureConnection' : 'connection';
}
