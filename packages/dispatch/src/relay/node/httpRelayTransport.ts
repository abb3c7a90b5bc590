/** Sends attempts through peers over HTTP. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent, request as requestHttp } from 'node:http';
import type { Clock, IDisposable } from '@parsleymux/base';
import { parseEndpoint } from '@parsleymux/base';
import type { ISendOptions, ITargetRequest, ITargetResponse } from '@parsleymux/routing';
import { TransportError, TransportFailure, isFinalStatus } from '@parsleymux/routing';
import VError from 'verror';
import type { IRelayOffer } from '../common/relayTransport.js';
import { RelayRefusal, RelayRefusedError, RelayTransport } from '../common/relayTransport.js';
import {
  OFFER_HEADER,
  REFUSAL_HEADER,
  RELAY_PATH,
  decodeResult,
  encodeOffer,
  encodeRequest,
  readMessage,
} from './relayEncoding.js';

/** Time within which a peer has to accept an offer, in ms, including the connect. */
const ACCEPT_TIMEOUT_MS = 250;
/** Time for which idle connections to peers are kept, in ms; less than the server's. */
const IDLE_MS = 4000;
/** Room for the head of a result in addition to the largest response, in bytes. */
const MAX_HEAD_BYTES = 262_144;
const OK = 200;
/** Sent by peers that don't know the path. */
const NOT_FOUND = 404;

/** Options of an {@link HttpRelayTransport}. */
export interface IHttpRelayTransportOptions {
  readonly clock: Clock;
  /** IP address of this node, by which peers recognize a member. Default: chosen by the system. */
  readonly localAddress?: string;
}

/**
 * Sends the offer in the head of an HTTP request with `Expect: 100-continue`, and the request only after the
 * peer has accepted the offer. A peer that dies or hangs before that certainly has not sent the request.
 *
 * @example
 * const response = await transport.send('10.1.0.4:7201', offer, request, { signal, maxResponseBytes });
 */
export class HttpRelayTransport extends RelayTransport implements IDisposable {
  private readonly agent = new Agent({ keepAlive: true, timeout: IDLE_MS });

  constructor(private readonly options: IHttpRelayTransportOptions) {
    super();
  }

  override send(
    peer: string,
    offer: IRelayOffer,
    request: ITargetRequest,
    options: ISendOptions,
  ): Promise<ITargetResponse> {
    const exchange = new RelayExchange(this.options.clock, request, options);
    const { host, port } = parseEndpoint(peer);
    const { localAddress } = this.options;
    return exchange.run(
      requestHttp({
        host,
        port,
        path: RELAY_PATH,
        method: 'POST',
        agent: this.agent,
        ...(localAddress === undefined ? {} : { localAddress }),
        headers: {
          expect: '100-continue',
          'transfer-encoding': 'chunked',
          [OFFER_HEADER]: encodeOffer(offer),
        },
      }),
    );
  }

  dispose(): void {
    this.agent.destroy();
  }
}

/** One attempt at one peer. */
class RelayExchange {
  private readonly startMs: number;
  /** Whether the peer has been sent the request, which it may have sent to the target since. */
  private isSent = false;
  private failure: TransportFailure = TransportFailure.Broken;

  constructor(
    private readonly clock: Clock,
    private readonly request: ITargetRequest,
    private readonly options: ISendOptions,
  ) {
    this.startMs = clock.getMonotonicTime();
  }

  async run(outgoing: ClientRequest): Promise<ITargetResponse> {
    const { signal } = this.options;
    const acceptTimer = this.clock.startTimer(ACCEPT_TIMEOUT_MS, () => {
      if (!this.isSent) outgoing.destroy(new Error('offer not accepted in time'));
    });
    const deadlineTimer = this.clock.startTimer(this.request.timeoutMs, () => {
      this.failure = TransportFailure.Timeout;
      outgoing.destroy(new Error('deadline passed'));
    });
    const onAbort = () => {
      this.failure = TransportFailure.Cancelled;
      outgoing.destroy(new Error('cancelled'));
    };
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
    try {
      return await this.receive(outgoing);
    } catch (error) {
      if (error instanceof RelayRefusedError || error instanceof TransportError) throw error;
      throw this.toError(error);
    } finally {
      signal.removeEventListener('abort', onAbort);
      void acceptTimer.dispose();
      void deadlineTimer.dispose();
    }
  }

  private async receive(outgoing: ClientRequest): Promise<ITargetResponse> {
    const incoming = await new Promise<IncomingMessage>((resolve, reject) => {
      outgoing.setNoDelay(true);
      // The error may come after the response has begun, when nothing waits for it.
      outgoing.on('error', reject);
      outgoing.once('response', resolve);
      outgoing.once('continue', () => {
        this.isSent = true;
        outgoing.end(this.encode());
      });
    });
    if (incoming.statusCode !== OK) {
      outgoing.destroy();
      const isRefusal =
        incoming.statusCode === NOT_FOUND || incoming.headers[REFUSAL_HEADER] !== undefined;
      if (this.isSent && !isRefusal) throw new VError('peer answered %d', incoming.statusCode);
      throw new RelayRefusedError(toRefusal(incoming.headers[REFUSAL_HEADER]));
    }
    const maxBytes = this.options.maxResponseBytes + MAX_HEAD_BYTES;
    const result = decodeResult(await readMessage(incoming, maxBytes));
    switch (result.kind) {
      case 'response':
        if (isFinalStatus(result.response.status)) return result.response;
        throw new VError('status %d is not defined', result.response.status);
      case 'refused':
        throw new RelayRefusedError(result.reason);
      case 'failed':
        throw new TransportError(result);
    }
  }

  private encode(): Uint8Array {
    const { body, headers, method, path, timeoutMs, targetTimeoutMs = timeoutMs } = this.request;
    const elapsedMs = this.clock.getMonotonicTime() - this.startMs;
    return encodeRequest({
      method,
      path,
      headers,
      body,
      timeoutMs: Math.max(1, timeoutMs - elapsedMs),
      targetTimeoutMs: Math.max(1, targetTimeoutMs - elapsedMs),
      maxResponseBytes: this.options.maxResponseBytes,
      needsFreshConnection: this.options.freshConnection ?? false,
    });
  }

  private toError(cause: unknown): Error {
    const isGivenUp = this.failure !== TransportFailure.Broken;
    if (!this.isSent && !isGivenUp) return new RelayRefusedError(RelayRefusal.Silent, cause);
    const { failure, isSent: mayHaveRun } = this;
    return new TransportError({ failure, mayHaveRun, reusedConnection: false, cause });
  }
}

/** A server that doesn't know the path responds without a reason. */
function toRefusal(reason: string | string[] | undefined): RelayRefusal {
  const known = Object.values(RelayRefusal).find((value) => value === reason);
  return known ?? RelayRefusal.Unsupported;
}
