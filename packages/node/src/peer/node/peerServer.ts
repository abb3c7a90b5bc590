/** The port on which other nodes of the fleet are served: the request hop and control traffic. */
import { closeServerImmediately, listenOn } from '@parsleymux/base';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { IDisposable } from '@parsleymux/base';
import type { HttpHandler, PeerAuthenticator } from '@parsleymux/fleet';
import { PROOF_HEADER } from '@parsleymux/fleet';
import { HOP_PATH } from '../../hop/common/hopProtocol.js';
import { createHttpServer } from '../../tls/node/httpServerFactory.js';
import type { TlsFilesWatcher } from '../../tls/node/tlsFilesWatcher.js';
import type { HopServer } from '../../hop/node/hopServer.js';

const UNAUTHORIZED = 401;
const UNAVAILABLE = 503;
const KEEP_ALIVE_MS = 65_000;

/** What the port serves; known only once its address is, since proofs name the address. */
export interface IPeerHandlers {
  readonly authenticator: PeerAuthenticator;
  readonly hop: HopServer;
  /** Serves every path but the hop's, and verifies the sender itself. */
  readonly control: HttpHandler;
}

/** Options of a {@link PeerServer}. */
export interface IPeerServerOptions {
  /** Largest total of header fields, in bytes: the caller's own and those of the hop. */
  readonly maxHeaderBytes: number;
  /** Absent: plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
}

/**
 * Refuses who does not prove to be of the fleet, before anything is read of the request's body.
 *
 * @example
 * const server = new PeerServer({ maxHeaderBytes: 32_768 });
 * const address = await server.listen('127.0.0.1:0');
 * server.setHandlers(handlers);
 */
export class PeerServer implements IDisposable {
  private readonly server: Server;
  private handlers: IPeerHandlers | undefined;

  constructor(options: IPeerServerOptions) {
    this.server = createHttpServer(
      options.tls,
      { maxHeaderSize: options.maxHeaderBytes, keepAliveTimeout: KEEP_ALIVE_MS },
      (request, response) => {
        this.serve(request, response);
      },
    );
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Until this is called, every request is refused as not ready. */
  setHandlers(handlers: IPeerHandlers): void {
    this.handlers = handlers;
  }

  dispose(): Promise<void> {
    return closeServerImmediately(this.server);
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    if (this.handlers === undefined) {
      response.writeHead(UNAVAILABLE, { connection: 'close' }).end();
      return;
    }
    if (request.url !== HOP_PATH) {
      this.handlers.control(request, response);
      return;
    }
    if (!this.handlers.authenticator.verifyProof(request.headers[PROOF_HEADER], HOP_PATH)) {
      response.writeHead(UNAUTHORIZED, { connection: 'close' }).end();
      return;
    }
    void this.handlers.hop.handle(request, response);
  }
}
