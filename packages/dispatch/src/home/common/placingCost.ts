/**
 * What placing a request at one sound target rather than another costs, as a share of what the
 * request is worth: distance, load and a cold start, in one unit.
 */
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { BookedTarget } from './bookedTarget.js';

/** Parts of the cost, each as a share of a request's worth. */
export interface IPlacingWeights {
  /** Carrying request and answer between failure domains. */
  readonly crossDomain: number;
  /** A target whose slots are all but used: some slow down when nearly full. */
  readonly fullTarget: number;
  /** A target that is slow after its start. */
  readonly coldTarget: number;
}

/** See the comment of each weight. */
export const DEFAULT_PLACING_WEIGHTS: IPlacingWeights = {
  crossDomain: 0.12,
  fullTarget: 0.06,
  coldTarget: 0.1,
};

/**
 * The cost of one more request at `target`.
 *
 * @example
 * const cost = computePlacingCost(target, request, DEFAULT_PLACING_WEIGHTS, nowMs);
 */
export function computePlacingCost(
  target: BookedTarget,
  request: IGrantRequest,
  weights: IPlacingWeights,
  nowMs: number,
): number {
  const load = (target.inUse + 1) / Math.max(1, target.record.slots);
  let cost = weights.fullTarget * load * load;
  if (target.record.failureDomain !== request.failureDomain) cost += weights.crossDomain;
  if (target.isCold(nowMs)) cost += weights.coldTarget;
  return cost;
}
