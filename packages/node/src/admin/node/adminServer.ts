/** The port of the administration API. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import type { AdminApi } from '@parsleymux/operators';
import { closeServer, listenOn } from '../../http/node/listener.js';

/**
 * Serves operators.
 *
 * @example
 * const address = await new AdminServer(api).listen('127.0.0.1:0');
 */
export class AdminServer implements IDisposable {
  private readonly server: Server;

  constructor(api: AdminApi) {
    this.server = createServer((request, response) => {
      void api.handle(request, response);
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
