/** HTTP servers in plain text or over TLS, as the settings say for each port. */
import type { RequestListener, Server, ServerOptions } from 'node:http';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { TlsFilesWatcher } from './tlsFilesWatcher.js';

/** Node's own limit of two minutes lets idle connections fill the port before they can be judged. */
const HANDSHAKE_TIMEOUT_MS = 10_000;

/**
 * Creates a server. Over TLS it takes on renewed certificates for the connections that follow.
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
