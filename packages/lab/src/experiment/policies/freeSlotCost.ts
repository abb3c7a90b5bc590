/**
 * What granting a target is expected to cost, as a share of what the request is worth. The home
 * grants the target with the lowest cost, so detection, load and distance weigh against each other
 * in one unit, and no threshold decides alone.
 */
import type { TargetState, IGrantRequest } from '@parsleymux/dispatch';

/** Weights of the parts of a cost, each as a share of a request's worth. */
export interface ITargetCostWeights {
  /** Losing a request that can't be repeated loses all of its worth. Default 1. */
  readonly lostRequest: number;
  /** Losing an attempt that can be repeated costs time and some of the retry budget. Default 0.25. */
  readonly lostAttempt: number;
  /** Carrying request and answer between failure domains. Default 0.12. */
  readonly crossDomain: number;
  /** A target whose slots are all but used. Some slow down when nearly full. Default 0.06. */
  readonly fullTarget: number;
  /** A target that is slow after its start. Default 0.1. */
  readonly coldTarget: number;
}

/** See the comment of each weight; the defaults were chosen by reasoning, then compared by runs. */
export const DEFAULT_COST_WEIGHTS: ITargetCostWeights = {
  lostRequest: 1,
  lostAttempt: 0.25,
  crossDomain: 0.12,
  fullTarget: 0.06,
  coldTarget: 0.1,
};

/** What the cost depends on besides the target. */
export interface ICostContext {
  readonly request: IGrantRequest;
  readonly weights: ITargetCostWeights;
  readonly failingFailureRate: number;
  /** Share of the service's retry allowance that is used up, from 0 to 1. */
  readonly retriesUsed: number;
  readonly nowMs: number;
}

/**
 * What a failed attempt loses. A request that could be repeated is lost all the same once the
 * service's retries are used up, so trying doubtful targets gets dearer on the way there.
 */
function computeLoss({ request, retriesUsed, weights }: ICostContext): number {
  const isRepeatable = request.isIdempotent && request.attempt === 1;
  if (!isRepeatable) return weights.lostRequest;
  const { lostAttempt, lostRequest } = weights;
  return lostAttempt + (lostRequest - lostAttempt) * retriesUsed * retriesUsed;
}

/**
 * The expected cost of granting `target`.
 *
 * @example
 * const cost = computeTargetCost(target, { request, weights, failingFailureRate: 0.7, retriesUsed: 0, nowMs });
 */
export function computeTargetCost(target: TargetState, context: ICostContext): number {
  const { request, weights, failingFailureRate, nowMs } = context;
  const suspicion = target.health.getSuspicion(nowMs);
  const loss = computeLoss(context);
  const load = (target.inUse + 1) / Math.max(1, target.record.slots);
  let cost = suspicion * failingFailureRate * loss;
  cost += weights.fullTarget * load * load;
  if (target.record.failureDomain !== request.failureDomain) cost += weights.crossDomain;
  if (target.isCold(nowMs)) cost += weights.coldTarget;
  return cost;
}
