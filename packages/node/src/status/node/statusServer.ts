/** Serves liveness and readiness to the platform's balancer, and metrics to the fleet's operators. */
import { closeServer, listenOn } from '@parsleymux/base';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import type { Registry } from 'prom-client';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

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

  constructor(options: IStatusServerOptions) {
    this.options = options;
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
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
      sendText(response, OK, 'live');
    } else if (request.url === '/ready') {
      const reason = this.options.getNotReadyReason();
      sendText(response, reason === undefined ? OK : UNAVAILABLE, reason ?? 'ready');
    } else if (request.url === '/metrics') {
      const text = await this.options.registry.metrics();
      sendText(response, OK, text, this.options.registry.contentType);
    } else {
      sendText(response, NOT_FOUND, 'not found');
    }
  }
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
  contentType = 'text/plain; charset=utf-8',
): void {
  response.writeHead(status, { 'content-type': contentType });
  response.end(`${text}\n`);
}
