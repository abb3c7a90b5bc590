/** Interface through which the administration API reads and settles claims of non-idempotent requests. */
import type { ClaimInfo, ClaimOutcome } from '@parsleymux/schema';

/** An operator's decision on the unknown outcome of a request. */
export interface ISettleRequest {
  readonly member: string;
  /** The caller's idempotency key, or its SHA-256 in hexadecimal. */
  readonly claimKey: string;
  readonly outcome: ClaimOutcome;
  readonly operator: string;
  readonly note: string;
}

/** Reads and settles claims of one member at a time. */
export abstract class ClaimSettler {
  /** Returns the claim, or undefined if there is none. Throws StoreUnavailable. */
  abstract getClaim(
    member: string,
    claimKey: string,
    signal: AbortSignal,
  ): Promise<ClaimInfo | undefined>;

  /** Settles an unknown outcome. Throws ClaimNotSettleable, NotFound, StoreUnavailable. */
  abstract settle(request: ISettleRequest, signal: AbortSignal): Promise<ClaimInfo>;
}
