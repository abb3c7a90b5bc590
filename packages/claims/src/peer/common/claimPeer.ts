/** Looks up the state of a claim at the node that holds it. */
import type { ClaimLookUp } from '@parsleymux/schema';

/** A look-up request to a claimer. */
export interface IClaimLookUpRequest {
  readonly member: string;
  readonly claimKey: string;
  readonly attemptToken: string;
  /** Maximum time that the requesting node waits, in ms. */
  readonly waitMs: number;
}

/** A claimer's response to a look-up. */
export interface IClaimLookUpResponse {
  readonly state: ClaimLookUp;
  /** The encoded response of the request when finished, otherwise empty. */
  readonly answer: Uint8Array;
}

/** Sends look-up requests to other nodes. */
export abstract class ClaimPeer {
  /** Rejects if the node at `address` sent no response, for any reason. */
  abstract lookUp(
    address: string,
    request: IClaimLookUpRequest,
    signal: AbortSignal,
  ): Promise<IClaimLookUpResponse>;
}
