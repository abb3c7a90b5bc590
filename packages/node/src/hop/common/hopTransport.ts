/** Sending of requests to homes. The node uses HTTP; tests use fakes. */
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';

/** What a request carries over the hop beside itself. */
export interface IHopRequest {
  readonly request: IRoutedRequest;
  /** Revision of the member's configuration that the entry routed by. */
  readonly memberRevision: number;
}

/** The entry's side of the hop. */
export abstract class HopTransport {
  /** Rejects with a HopError when no home answered, with a MuxError when the home refused. */
  abstract send(peer: string, hop: IHopRequest, signal: AbortSignal): Promise<IResponse>;

  /**
   * Stops using the connections to a peer that are open now. A connection whose far end has lost
   * track of it stays silent for good; a new one shows whether the peer itself is gone.
   */
  abstract retireConnections(peer: string): void;
}
