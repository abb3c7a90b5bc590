/** Decides as if it knew which targets fail: what is lost then, nobody can avoid. */
import type { IServiceState, IWaitingRequest, PolicyDecision } from '@parsleymux/dispatch';
import { ExpectedCreditPolicy, listFreeTargets } from '@parsleymux/dispatch';

/** Tells whether a target is failing at this moment. */
export type FailureOracle = (targetId: string) => boolean;

/**
 * Grants only targets that don't fail now, by the present policy's own placing; requests wait for
 * them as long as that policy lets them. No detection and no probing can do better.
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
