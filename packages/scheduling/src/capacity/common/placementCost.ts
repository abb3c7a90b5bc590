/**
 * The cost of choosing one healthy target over another, as a share of a request's credit. Combines
 * network distance, load, cold starts and new connections in one unit.
 */
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { TargetState } from './targetState.js';
import type { IServiceState } from '../../admission/common/grantPolicy.js';

const BYTES_PER_KIB = 1024;

/** Components of the cost, each as a share of a request's credit. */
export interface IPlacementWeights {
  /**
   * Transfer of 1,024 response bytes between failure domains, which providers bill, unlike transfer
   * within one. Lies within the range of three firms' traffic costs, 0.013 to 0.065.
   */
  readonly crossDomainKib: number;
  /** Any request between failure domains: the path is longer and may be partitioned. */
  readonly crossDomain: number;
  /** A target with nearly all slots in use: some targets slow down then. */
  readonly fullTarget: number;
  /** A target of average speed; faster ones cost more, as requests with little time need them. */
  readonly fastTarget: number;
  /** A target that is still slow after its start. */
  readonly coldTarget: number;
  /**
   * A handshake, if the entry has no idle connection to the target. A higher weight hardly reduces the
   * number of new connections further, and places requests further away.
   */
  readonly newConnection: number;
}

/** The defaults; see {@link IPlacementWeights} for the reasons. */
export const DEFAULT_PLACEMENT_WEIGHTS: IPlacementWeights = {
  crossDomainKib: 0.03,
  crossDomain: 0.01,
  fullTarget: 0.06,
  fastTarget: 0.01,
  coldTarget: 0.1,
  newConnection: 0.05,
};

/**
 * The cost of one more request at `target`.
 *
 * @example
 * const cost = computePlacementCost(target, request, DEFAULT_PLACEMENT_WEIGHTS, state);
 */
export function computePlacementCost(
  target: TargetState,
  request: IGrantRequest,
  weights: IPlacementWeights,
  state: Pick<IServiceState, 'responseSizes' | 'nowMs' | 'speeds'>,
): number {
  const load = (target.inUse + 1) / Math.max(1, target.record.slots);
  let cost = weights.fullTarget * load * load;
  if (target.record.failureDomain !== request.failureDomain) {
    cost += computeDistanceCost(request, weights, state);
  }
  if (!request.connected.includes(target.record.id)) cost += weights.newConnection;
  if (target.isCold(state.nowMs)) cost += weights.coldTarget;
  if (state.speeds !== undefined) {
    cost += weights.fastTarget / state.speeds.getMeanFactor(target, state.nowMs);
  }
  return cost;
}

/** The cost of sending a request to another failure domain. */
export function computeDistanceCost(
  request: IGrantRequest,
  weights: IPlacementWeights,
  { responseSizes }: Pick<IServiceState, 'responseSizes'>,
): number {
  const kib = responseSizes.getMeanBytes(request.route) / BYTES_PER_KIB;
  return weights.crossDomain + weights.crossDomainKib * kib;
}
