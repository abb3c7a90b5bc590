/** Policy with perfect knowledge of failing targets: a bound on what any real policy can reach. */
import type { IServiceState, IWaitingRequest, PolicyDecision } from '@parsleymux/dispatch';
import { ExpectedCreditPolicy, listFreeTargets } from '@parsleymux/dispatch';

/** Whether a target is failing now. */
export type FailureOracle = (targetId: string) => boolean;

/**
 * Grants only targets that aren't failing now, with the placement and the waiting of the current
 * policy. No detection and no probing can do better.
 */
export class OraclePolicy extends ExpectedCreditPolicy {
  constructor(private readonly isFailing: FailureOracle) {
    super({ keepsFloor: false, valuesProbes: false });
  }

  override decide(waiting: IWaitingRequest, state: IServiceState): PolicyDecision {
    const targets = state.targets.filter(({ record }) => !this.isFailing(record.id));
    const free = listFreeTargets(waiting.request, { ...state, targets });
    const decision = super.decide(waiting, { ...state, targets });
    const [first] = free;
    if (decision.kind === 'grant' || first === undefined || waiting.request.isHedge)
      return decision;
    return { kind: 'grant', target: first };
  }
}
