/**
 * What placing a request at one sound target rather than another costs, as a share of what the
 * request is worth: distance, load and a cold start, in one unit.
 */
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { TargetState } from './targetState.js';
import type { IServiceState } from './grantPolicy.js';

const BYTES_PER_KIB = 1024;

/** Parts of the cost, each as a share of a request's worth. */
export interface IPlacementWeights {
  /**
   * Carrying 1,024 bytes of answer between failure domains. Providers bill such bytes, and never
   * those within one; the value lies between those of three firms, which are 0.013 to 0.065.
   */
  readonly crossDomainKib: number;
  /** Carrying any request between failure domains: the way is longer and may be cut. */
  readonly crossDomain: number;
  /** A target whose slots are all but used: some slow down when nearly full. */
  readonly fullTarget: number;
  /** A target that is slow after its start. */
  readonly coldTarget: number;
  /**
   * A handshake, where the entry keeps no connection to the target. New connections for each request
   * 0.45 to 0.39 on a calm load, 0.39 to 0.36 on a heavy one (8 seeds of 40 s); more weight gains
   * little and puts requests further away.
   */
  readonly newConnection: number;
}

/** See the comment of each weight. */
export const DEFAULT_PLACEMENT_WEIGHTS: IPlacementWeights = {
  crossDomainKib: 0.03,
  crossDomain: 0.01,
  fullTarget: 0.06,
  coldTarget: 0.1,
  newConnection: 0.05,
};

/**
 * The cost of one more request at `target`.
 *
 * @example
 * const cost = computePlacingCost(target, request, DEFAULT_PLACING_WEIGHTS, state);
 */
export function computePlacementCost(
  target: TargetState,
  request: IGrantRequest,
  weights: IPlacementWeights,
  state: Pick<IServiceState, 'responseSizes' | 'nowMs'>,
): number {
  const load = (target.inUse + 1) / Math.max(1, target.record.slots);
  let cost = weights.fullTarget * load * load;
  if (target.record.failureDomain !== request.failureDomain) {
    cost += computeDistanceCost(request, weights, state);
  }
  if (!request.connected.includes(target.record.id)) cost += weights.newConnection;
  if (target.isCold(state.nowMs)) cost += weights.coldTarget;
  return cost;
}

/** What it costs to place a request in another failure domain. */
export function computeDistanceCost(
  request: IGrantRequest,
  weights: IPlacementWeights,
  { responseSizes }: Pick<IServiceState, 'responseSizes'>,
): number {
  const kib = responseSizes.getMeanBytes(request.route) / BYTES_PER_KIB;
  return weights.crossDomain + weights.crossDomainKib * kib;
}
