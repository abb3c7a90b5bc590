/** Creates HTTP servers with or without TLS, depending on the settings of each port. */
import type { RequestListener, Server, ServerOptions } from 'node:http';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { TlsFilesWatcher } from './tlsFilesWatcher.js';

/** With the Node.js default of two minutes, idle connections could exhaust the port before they time out. */
const HANDSHAKE_TIMEOUT_MS = 10_000;

/**
 * Creates a server. With TLS, it uses renewed certificates for new connections.
 *
 * @example
 * const server = createHttpServer(undefined, { keepAliveTimeout: 65_000 }, listener);
 */
export function createHttpServer(
  tls: TlsFilesWatcher | undefined,
  options: ServerOptions,
  listener: RequestListener,
): Server {
  if (tls === undefined) return createServer(options, listener);
  const server = createTlsServer(
    { ...options, ...tls.getMaterial(), handshakeTimeout: HANDSHAKE_TIMEOUT_MS },
    listener,
  );
  const subscription = tls.onDidChange((material) => {
    server.setSecureContext(material);
  });
  server.once('close', () => {
    void subscription.dispose();
  });
  return server;
}
