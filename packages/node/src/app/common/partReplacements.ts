/**
 * Parts that an experiment puts in the place of the node's own, to show what goes wrong without
 * them. The binary replaces none, and no setting does.
 */
import type { AppliedConfig } from '@parsleymux/config';
import type { DispatchGuard, EjectionLedger } from '@parsleymux/routing';

export interface IPartReplacements {
  readonly guard?: DispatchGuard;
  readonly ledger?: EjectionLedger;
  readonly applied?: AppliedConfig;
  /** Entries believe every refusal "not run", also after a home fell silent. */
  readonly forgetsPossibleReach?: boolean;
  /** Shutdown waits for nothing. */
  readonly stopsAtOnce?: boolean;
}
