/** Looks up the claims of other nodes over connect-es. */
import type { IClaimLookUpResponse, IClaimLookUpRequest } from '@parsleymux/claims';
import { ClaimPeer } from '@parsleymux/claims';
import type { PeerClients } from '@parsleymux/fleet';

/** Time for the exchange itself, in addition to the time that the claimer waits, in ms. */
const EXCHANGE_MS = 500;

/**
 * Sends look-ups to claimers by their peer address.
 *
 * @example
 * const { state } = await new ConnectClaimPeer(clients).lookUp('10.0.0.1:7002', question, signal);
 */
export class ConnectClaimPeer extends ClaimPeer {
  constructor(private readonly clients: PeerClients) {
    super();
  }

  override async lookUp(
    address: string,
    question: IClaimLookUpRequest,
    signal: AbortSignal,
  ): Promise<IClaimLookUpResponse> {
    const response = await this.clients.execute(
      address,
      (client, options) => client.lookUpClaim(question, options),
      { signal, timeoutMs: question.waitMs + EXCHANGE_MS },
    );
    return { state: response.state, answer: response.answer };
  }
}
