/** The port of the administration API. */
import type { Server } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import type { AdminApi } from '@parsleymux/operators';
import { createHttpServer } from '../../tls/node/httpServerFactory.js';
import type { TlsFilesWatcher } from '../../tls/node/tlsFilesWatcher.js';
import { closeServer, listenOn } from '../../http/node/listener.js';

/** Options of an {@link AdminServer}. */
export interface IAdminServerOptions {
  readonly api: AdminApi;
  /** Absent: plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
}

/**
 * Serves operators.
 *
 * @example
 * const address = await new AdminServer({ api }).listen('127.0.0.1:0');
 */
export class AdminServer implements IDisposable {
  private readonly server: Server;

  constructor(options: IAdminServerOptions) {
    this.server = createHttpServer(options.tls, {}, (request, response) => {
      void options.api.handle(request, response);
    });
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  async dispose(): Promise<void> {
    const closed = closeServer(this.server);
    this.server.closeAllConnections();
    await closed;
  }
}
