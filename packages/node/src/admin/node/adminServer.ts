/** HTTP server of the administration API. */
import { closeServerImmediately, listenOn } from '@parsleymux/base';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import type { AdminApi } from '@parsleymux/operators';
import { createHttpServer } from '../../tls/node/httpServerFactory.js';
import type { TlsFilesWatcher } from '../../tls/node/tlsFilesWatcher.js';
import { CallerConnections } from '../../entry/node/callerConnections.js';
import { writeRefusal } from '../../entry/node/refusalWriter.js';
import { toMuxError } from '../../http/common/refusal.js';

/** Low, because operators are few and the node's file descriptors are needed for callers. */
const MAX_CONNECTIONS = 256;
const MAX_REQUESTS = 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const CHECKING_INTERVAL_MS = 1000;

/** Options of an {@link AdminServer}. */
export interface IAdminServerOptions {
  readonly api: AdminApi;
  /** When absent, the server uses plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
}

/**
 * Serves the administration API to operators.
 *
 * @example
 * const address = await new AdminServer({ api }).listen('127.0.0.1:0');
 */
export class AdminServer implements IDisposable {
  private readonly options: IAdminServerOptions;
  private readonly server: Server;
  private readonly connections: CallerConnections;

  constructor(options: IAdminServerOptions) {
    this.options = options;
    this.server = createHttpServer(
      options.tls,
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: CHECKING_INTERVAL_MS,
        requireHostHeader: false,
      },
      (request, response) => {
        void this.serve(request, response);
      },
    );
    this.connections = new CallerConnections({
      server: this.server,
      limit: MAX_CONNECTIONS,
      maxRequests: MAX_REQUESTS,
      onDidRefuse: () => undefined,
    });
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  dispose(): Promise<void> {
    return closeServerImmediately(this.server);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const finish = this.connections.startRequest(request);
    response.once('close', finish);
    try {
      this.connections.checkLimit(request);
    } catch (error) {
      await writeRefusal(request, response, toMuxError(error), [['connection', 'close']]);
      return;
    }
    await this.options.api.handle(request, response);
  }
}
