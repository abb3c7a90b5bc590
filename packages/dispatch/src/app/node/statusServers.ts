/** HTTP servers for the balancer's readiness check and for the collection of metrics. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { SharedPage } from '@parsleymux/base';
import type { Registry } from 'prom-client';

const OK = 200;
const UNAVAILABLE = 503;

/**
 * Responds with 200 while the node accepts new connections, for any path.
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
 * Responds with all metrics, for any path.
 *
 * @example
 * const server = createMetricsServer(registry);
 */
export function createMetricsServer(registry: Registry): Server {
  const page = new SharedPage(() => registry.metrics());
  return createServer((_, response) => {
    page.render().then(
      (text) => {
        response.writeHead(OK, { 'content-type': registry.contentType }).end(text);
      },
      (error: unknown) => {
        response.writeHead(UNAVAILABLE).end(String(error));
      },
    );
  });
}
