/** Serves the relayed attempts of peers on a node's state server. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { TransportError } from '@parsleymux/routing';
import type { RelayHandler } from '../common/relayHandler.js';
import type { IRelayOffer } from '../common/relayTransport.js';
import { RelayRefusal, RelayRefusedError } from '../common/relayTransport.js';
import type { RelayResult } from './relayEncoding.js';
import {
  OFFER_HEADER,
  REFUSAL_HEADER,
  RELAY_PATH,
  decodeOffer,
  decodeRequest,
  encodeResult,
  readMessage,
} from './relayEncoding.js';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
/** Largest relayed request, in bytes: more than the limit on the bodies of callers. */
const MAX_REQUEST_BYTES = 67_108_864;

/** Options of a {@link RelayServer}. */
export interface IRelayServerOptions {
  readonly handler: RelayHandler;
  /** Whether an IP address is that of a node of the fleet. */
  readonly isMember: (ip: string) => boolean;
}

/**
 * Responds `100 Continue` to offers that the handler accepts, and refuses others before their request is sent.
 *
 * @example
 * new RelayServer({ handler, isMember }).listen(stateServer);
 */
export class RelayServer {
  constructor(private readonly options: IRelayServerOptions) {}

  /** Handles the offers that arrive at `server`. */
  listen(server: Server): void {
    server.on('checkContinue', (incoming: IncomingMessage, response: ServerResponse) => {
      void this.handle(incoming, response).catch(() => response.destroy());
    });
  }

  private async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (incoming.url !== RELAY_PATH) {
      response.writeHead(NOT_FOUND, { connection: 'close' }).end();
      return;
    }
    const offer = decodeOffer(incoming.headers[OFFER_HEADER]);
    const refusal = this.findRefusal(incoming, offer);
    if (refusal !== undefined || offer === undefined) {
      const reason = refusal ?? RelayRefusal.Unsupported;
      response.writeHead(UNAVAILABLE, { [REFUSAL_HEADER]: reason, connection: 'close' }).end();
      return;
    }
    await this.options.handler.track(() => this.serve(offer, incoming, response));
  }

  private async serve(
    offer: IRelayOffer,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) closed.abort(new Error('the peer has closed the connection'));
    });
    response.writeContinue();
    const request = decodeRequest(await readMessage(incoming, MAX_REQUEST_BYTES));
    const peer = incoming.socket.remoteAddress ?? '';
    const result = await this.run(() =>
      this.options.handler.send(peer, offer, request, closed.signal),
    );
    if (closed.signal.aborted) return;
    const bytes = encodeResult(result);
    response.writeHead(OK, { 'content-length': bytes.byteLength }).end(bytes);
  }

  private findRefusal(
    incoming: IncomingMessage,
    offer: IRelayOffer | undefined,
  ): RelayRefusal | undefined {
    const { handler, isMember } = this.options;
    const isTrusted = isMember(incoming.socket.remoteAddress ?? '');
    if (!isTrusted || offer === undefined) return RelayRefusal.Unsupported;
    return handler.findRefusal(offer);
  }

  private async run(send: () => ReturnType<RelayHandler['send']>): Promise<RelayResult> {
    try {
      return { kind: 'response', response: await send() };
    } catch (error) {
      if (error instanceof RelayRefusedError) return { kind: 'refused', reason: error.reason };
      if (!(error instanceof TransportError)) throw error;
      const { failure, mayHaveRun, reusedConnection } = error;
      return { kind: 'failed', failure, mayHaveRun, reusedConnection };
    }
  }
}
