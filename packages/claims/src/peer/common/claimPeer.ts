/** Asks the node that holds a claim what became of it. */
import type { ClaimLookUp } from '@parsleymux/schema';

/** One question to a claimer. */
export interface IClaimLookUpRequest {
  readonly member: string;
  readonly claimKey: string;
  readonly attemptToken: string;
  /** Longest time that the asker will wait, in ms. */
  readonly waitMs: number;
}

/** What the claimer said. */
export interface IClaimLookUpResponse {
  readonly state: ClaimLookUp;
  /** The packed answer, when finished. */
  readonly answer: Uint8Array;
}

/** The way to other nodes. */
export abstract class ClaimPeer {
  /** Rejects when the node at `address` gave no answer, for whatever reason. */
  abstract lookUp(
    address: string,
    question: IClaimLookUpRequest,
    signal: AbortSignal,
  ): Promise<IClaimLookUpResponse>;
}
