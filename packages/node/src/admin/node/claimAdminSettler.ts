/** Gives the administration API access to claims. */
import type { ClaimAdmin } from '@parsleymux/claims';
import type { ISettleRequest } from '@parsleymux/operators';
import { ClaimSettler } from '@parsleymux/operators';
import type { ClaimInfo } from '@parsleymux/schema';

/**
 * Adapts {@link ClaimAdmin} to the operators package, on which the claims package must not depend.
 *
 * @example
 * const claims = new ClaimAdminSettler(core.claims.admin);
 */
export class ClaimAdminSettler extends ClaimSettler {
  constructor(private readonly admin: ClaimAdmin) {
    super();
  }

  override getClaim(
    member: string,
    claimKey: string,
    signal: AbortSignal,
  ): Promise<ClaimInfo | undefined> {
    return this.admin.getClaim(member, claimKey, signal);
  }

  override settle(request: ISettleRequest, signal: AbortSignal): Promise<ClaimInfo> {
    return this.admin.settle(request, signal);
  }
}
