/**
 * Expected cost of granting a target, as a share of the request's worth. The policy grants the
 * target with the lowest cost, so health, load and distance are traded off in one unit and no
 * single threshold decides.
 */
import type { TargetState, IGrantRequest } from '@parsleymux/scheduling';

/** Weights of the terms of the cost, each as a share of a request's worth. */
export interface ITargetCostWeights {
  /** Failing a request that can't be retried loses all of its worth. Default 1. */
  readonly lostRequest: number;
  /** Failing an attempt that can be retried costs time and retry budget. Default 0.25. */
  readonly lostAttempt: number;
  /** Transferring request and response between failure domains. Default 0.12. */
  readonly crossDomain: number;
  /** Granting the last free slot of a target, since some targets slow down when nearly full. Default 0.06. */
  readonly fullTarget: number;
  /** Granting a target that is still warming up after its start. Default 0.1. */
  readonly coldTarget: number;
}

/** Default weights; the comment of each weight gives its reason. */
export const DEFAULT_COST_WEIGHTS: ITargetCostWeights = {
  lostRequest: 1,
  lostAttempt: 0.25,
  crossDomain: 0.12,
  fullTarget: 0.06,
  coldTarget: 0.1,
};

/** Inputs of the cost other than the target. */
export interface ICostContext {
  readonly request: IGrantRequest;
  readonly weights: ITargetCostWeights;
  readonly failingFailureRate: number;
  /** Share of the service's retry budget that is used, from 0 to 1. */
  readonly retriesUsed: number;
  readonly nowMs: number;
}

/**
 * Loss of a failed attempt. A request that could be retried is also lost once the service's retry
 * budget is used up, so granting suspected targets costs more as the budget shrinks.
 */
function computeLoss({ request, retriesUsed, weights }: ICostContext): number {
  const canRetry = request.isIdempotent && request.attempt === 1;
  if (!canRetry) return weights.lostRequest;
  const { lostAttempt, lostRequest } = weights;
  return lostAttempt + (lostRequest - lostAttempt) * retriesUsed * retriesUsed;
}

/**
 * The expected cost of granting `target`.
 *
 * @example
 * const cost = computeTargetCost(target, {
 *   request, weights, failingFailureRate: 0.7, retriesUsed: 0, nowMs,
 * });
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
