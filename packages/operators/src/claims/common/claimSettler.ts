/** Where the administration API looks at and settles claims of non-idempotent requests. */
import type { ClaimInfo, ClaimOutcome } from '@parsleymux/schema';

/** An operator's word on the outcome of a request. */
export interface ISettleRequest {
  readonly member: string;
  /** The caller's idempotency key, or its SHA-256 in hexadecimal. */
  readonly claimKey: string;
  readonly outcome: ClaimOutcome;
  readonly operator: string;
  readonly note: string;
}

/** Access to claims of one member at a time. */
export abstract class ClaimSettler {
  /** The claim, or undefined when there is none. Throws StoreUnavailable. */
  abstract getClaim(
    member: string,
    claimKey: string,
    signal: AbortSignal,
  ): Promise<ClaimInfo | undefined>;

  /** Settles an unknown outcome. Throws ClaimNotSettleable, NotFound, StoreUnavailable. */
  abstract settle(request: ISettleRequest, signal: AbortSignal): Promise<ClaimInfo>;
}
