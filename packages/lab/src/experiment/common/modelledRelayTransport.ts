/** Sends attempts through other nodes of an experiment, on simulated time. */
import type { Clock } from '@parsleymux/base';
import type { IRelayOffer, RelayHandler } from '@parsleymux/dispatch';
import { RelayRefusal, RelayRefusedError, RelayTransport } from '@parsleymux/dispatch';
import type { ISendOptions, ITargetRequest, ITargetResponse } from '@parsleymux/routing';
import { TransportError, TransportFailure } from '@parsleymux/routing';

/** Time after which a peer that doesn't accept an offer is given up, in ms. */
const ACCEPT_TIMEOUT_MS = 250;

/** A node that sends attempts for others. */
export interface IModelledPeer {
  readonly handler: RelayHandler;
  /** Aborts when its process ends. */
  readonly endSignal: AbortSignal;
}

/** Options of a {@link ModelledRelayTransport}. */
export interface IModelledRelayTransportOptions {
  readonly clock: Clock;
  /** Address of the node that sends. */
  readonly self: string;
  /** One-way delay between nodes, in ms. */
  readonly delayMs: number;
  /** The peer at an address; undefined if it can't be reached. */
  readonly findPeer: (address: string) => IModelledPeer | undefined;
}

/** Models the offer, its acceptance, the request and the response, each with the delay of the network. */
export class ModelledRelayTransport extends RelayTransport {
  constructor(private readonly options: IModelledRelayTransportOptions) {
    super();
  }

  override async send(
    address: string,
    offer: IRelayOffer,
    request: ITargetRequest,
    options: ISendOptions,
  ): Promise<ITargetResponse> {
    const { clock, delayMs, findPeer, self } = this.options;
    await clock.sleep(delayMs);
    const peer = findPeer(address);
    if (peer === undefined) {
      await clock.sleep(ACCEPT_TIMEOUT_MS);
      throw new RelayRefusedError(RelayRefusal.Silent);
    }
    const refusal = peer.handler.findRefusal(offer);
    await clock.sleep(delayMs);
    if (refusal !== undefined) throw new RelayRefusedError(refusal);
    if (options.signal.aborted) throw makeError(TransportFailure.Cancelled);
    await clock.sleep(delayMs);
    const { targetTimeoutMs = request.timeoutMs } = request;
    const relayed = {
      ...request,
      targetTimeoutMs,
      maxResponseBytes: options.maxResponseBytes,
      needsFreshConnection: options.freshConnection ?? false,
    };
    const response = await peer.handler.track(() => {
      return waitForResult(peer.handler.send(self, offer, relayed, options.signal), peer.endSignal);
    });
    await clock.sleep(delayMs);
    return response;
  }
}

/** Rejects if the process of the peer ends before the result. */
async function waitForResult<T>(result: Promise<T>, signal: AbortSignal): Promise<T> {
  let onAbort: () => void = () => undefined;
  const ended = new Promise<never>((_resolve, reject) => {
    onAbort = () => {
      reject(makeError(TransportFailure.Broken));
    };
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
  });
  try {
    return await Promise.race([result, ended]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}

function makeError(failure: TransportFailure): TransportError {
  return new TransportError({ failure, mayHaveRun: true, reusedConnection: false });
}
