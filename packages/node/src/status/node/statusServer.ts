/** Serves liveness and readiness to the platform's balancer, and metrics to the fleet's operators. */
import { SharedPage, closeServer, listenOn, setServerLimits } from '@parsleymux/base';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import type { Registry } from 'prom-client';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
/** Low, because the node's file descriptors are needed for callers. */
const MAX_CONNECTIONS = 256;

/** Options of a {@link StatusServer}. */
export interface IStatusServerOptions {
  readonly registry: Registry;
  /** Returns why the node should get no new connections, or undefined when it is ready. */
  readonly getNotReadyReason: () => string | undefined;
}

/**
 * Serves `GET /live`, `GET /ready` and `GET /metrics`.
 *
 * @example
 * const address = await new StatusServer(options).listen('127.0.0.1:0');
 */
export class StatusServer implements IDisposable {
  private readonly options: IStatusServerOptions;
  private readonly server: Server;
  private readonly metricsPage: SharedPage;

  constructor(options: IStatusServerOptions) {
    this.options = options;
    this.metricsPage = new SharedPage(async () => `${await options.registry.metrics()}\n`);
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    setServerLimits(this.server, MAX_CONNECTIONS);
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  async dispose(): Promise<void> {
    this.server.closeAllConnections();
    await closeServer(this.server);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/live') {
      sendText(response, OK, 'live\n');
    } else if (request.url === '/ready') {
      const reason = this.options.getNotReadyReason();
      sendText(response, reason === undefined ? OK : UNAVAILABLE, `${reason ?? 'ready'}\n`);
    } else if (request.url === '/metrics') {
      const text = await this.metricsPage.render();
      if (!response.destroyed) sendText(response, OK, text, this.options.registry.contentType);
    } else {
      sendText(response, NOT_FOUND, 'not found\n');
    }
  }
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string | Buffer,
  contentType = 'text/plain; charset=utf-8',
): void {
  response.writeHead(status, { 'content-type': contentType });
  response.end(text);
}
