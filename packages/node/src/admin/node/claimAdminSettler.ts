/** Claims as the administration API sees them. */
import type { ClaimInfo } from '@parsleymux/schema';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ClaimSettler } from '@parsleymux/operators';

/** Refuses until claims can be looked at by operators. */
export class ClaimAdminSettler extends ClaimSettler {
  override getClaim(): Promise<ClaimInfo | undefined> {
    return Promise.resolve(undefined);
  }

  override settle(): Promise<ClaimInfo> {
    return Promise.reject(
      new MuxError({
        code: ResultCode.ClaimNotSettleable,
        message: 'claims cannot be settled on this version',
        runState: RunState.NotRun,
      }),
    );
  }
}
