/** HTTP server for other nodes of the fleet: the request hop and control calls. */
import { closeServerImmediately, listenOn, setServerLimits } from '@parsleymux/base';
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

/** Handlers of the port. They are set after the port is open, since proofs contain its address. */
export interface IPeerHandlers {
  readonly authenticator: PeerAuthenticator;
  readonly hop: HopServer;
  /** Serves every path except that of the hop, and verifies the sender itself. */
  readonly control: HttpHandler;
}

/** Options of a {@link PeerServer}. */
export interface IPeerServerOptions {
  /** Maximum total size of the headers of the caller and of the hop, in bytes. */
  readonly maxHeaderBytes: number;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** When absent, the server uses plain HTTP. */
  readonly tls?: TlsFilesWatcher | undefined;
}

/**
 * Serves only clients that prove that they belong to the fleet. On the hop, others are rejected before
 * the body of the request is read.
 *
 * @example
 * const server = new PeerServer({ maxHeaderBytes: 32_768, maxConnections: 4000 });
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
    setServerLimits(this.server, options.maxConnections);
  }

  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Sets the handlers. Until then, every request is rejected as unavailable. */
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
