/** Policy with perfect knowledge of failing targets: a bound on what any real policy can reach. */
import type { IServiceState, IWaitingRequest, PolicyDecision } from '@parsleymux/scheduling';
import { ExpectedCreditPolicy, listFreeTargets } from '@parsleymux/scheduling';

/** Whether a target is failing now. */
export type FailureOracle = (targetId: string) => boolean;

/**
 * Places requests as {@link ExpectedCreditPolicy} does, but only on targets that aren't failing now.
 * Requests other than hedges wait only while none of these is free, as long as that policy allows.
 * No detection and no probing can do better.
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
