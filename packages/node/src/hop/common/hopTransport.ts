/** Sends requests to homes. The node uses HTTP; tests use fakes. */
import type { IResponse, IRoutedRequest } from '@parsleymux/routing';

/** A request with the data that accompanies it over the hop. */
export interface IHopRequest {
  readonly request: IRoutedRequest;
  /** Revision of the member's configuration that the entry used for routing. */
  readonly memberRevision: number;
}

/** The entry's side of the hop. */
export abstract class HopTransport {
  /** Rejects with a HopError when no home responded, and with a MuxError when the home refused. */
  abstract send(peer: string, hop: IHopRequest, signal: AbortSignal): Promise<IResponse>;

  /**
   * Stops using the open connections to a peer. A connection whose remote end has lost its state never
   * gets a response; a new one shows whether the peer itself is unavailable.
   */
  abstract retireConnections(peer: string): void;
}
