/** Small servers for whoever watches the node: the balancer, and the collector of metrics. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { Registry } from 'prom-client';

const OK = 200;
const UNAVAILABLE = 503;

/**
 * Answers 200 while the node takes new connections, whatever the path.
 *
 * @example
 * const server = createReadyServer(() => isReady);
 */
export function createReadyServer(isReady: () => boolean): Server {
  return createServer((_, response) => {
    response.writeHead(isReady() ? OK : UNAVAILABLE, { 'content-length': '0' }).end();
  });
}

/**
 * Answers with all metrics, whatever the path.
 *
 * @example
 * const server = createMetricsServer(registry);
 */
export function createMetricsServer(registry: Registry): Server {
  return createServer((_, response) => {
    registry.metrics().then(
      (text) => {
        response.writeHead(OK, { 'content-type': registry.contentType }).end(text);
      },
      (error: unknown) => {
        response.writeHead(UNAVAILABLE).end(String(error));
      },
    );
  });
}
