/** The server side of control calls between nodes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { ControlService } from '@parsleymux/schema';
import type { PeerAuthenticator } from './peerAuthenticator.js';
import { PROOF_HEADER } from './peerAuthenticator.js';

/** Prefix of the paths that {@link makeControlHandler} serves. */
export const CONTROL_PATH_PREFIX = '/parsleymux.control.v1.';

const UNAUTHORIZED = 401;
const DEFAULT_MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Implementation of the control service; an omitted method responds with "unimplemented". */
export type ControlImplementation = Partial<ServiceImpl<typeof ControlService>>;

/** Handles a request of Node's HTTP server. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Options of {@link makeControlHandler}. */
export interface IControlHandlerOptions {
  readonly implementation: ControlImplementation;
  readonly authenticator: PeerAuthenticator;
  /** Largest accepted message, in bytes. Default 16 MiB. */
  readonly maxMessageBytes?: number;
}

/**
 * Creates the handler for the control paths of the peer port.
 *
 * @example
 * const handleControl = makeControlHandler({ implementation, authenticator });
 * createServer((request, response) => {
 *   if (request.url?.startsWith(CONTROL_PATH_PREFIX)) handleControl(request, response);
 * });
 */
export function makeControlHandler(options: IControlHandlerOptions): HttpHandler {
  const adapter = connectNodeAdapter({
    routes: (router) => router.service(ControlService, options.implementation),
    readMaxBytes: options.maxMessageBytes ?? DEFAULT_MAX_MESSAGE_BYTES,
  });
  return (request, response) => {
    const proof = request.headers[PROOF_HEADER];
    if (!options.authenticator.verifyProof(proof, request.url ?? '')) {
      response.writeHead(UNAUTHORIZED, { connection: 'close' }).end();
      return;
    }
    adapter(request, response);
  };
}
