/** Grants any free slot, the cheapest target first; requests wait only while no slot is free. */
import { ResultCode } from '@parsleymux/base';
import type {
  TargetState,
  IGrantRequest,
  IServiceState,
  IWaitingRequest,
  PolicyDecision,
} from '@parsleymux/scheduling';
import { GrantPolicy, isFirstRequestDue, listFreeTargets } from '@parsleymux/scheduling';
import type { ITargetCostWeights } from './freeSlotCost.js';
import { computeTargetCost, DEFAULT_COST_WEIGHTS } from './freeSlotCost.js';

/**
 * Baseline for comparison with expected credit. Grants the free target with the lowest cost, except
 * that new targets get a first request and that the floor of targets in use is maintained while
 * the service is failing.
 *
 * @example
 * const decision = new FreeSlotPolicy().decide(waiting, state);
 */
export class FreeSlotPolicy extends GrantPolicy {
  private readonly weights: ITargetCostWeights;

  constructor(weights: Partial<ITargetCostWeights> = {}) {
    super();
    this.weights = { ...DEFAULT_COST_WEIGHTS, ...weights };
  }

  override decide(waiting: IWaitingRequest, state: IServiceState): PolicyDecision {
    const { ahead, request, waitedMs } = waiting;
    const target = ahead > 0 && waitedMs === 0 ? undefined : this.pick(request, state);
    if (target !== undefined) return { kind: 'grant', target };
    if (waitedMs > 0 || ahead === 0) return { kind: 'wait' };
    const meanMs = state.processingTimes.getMeanMs(request.route, request.objectiveMs);
    const neededMs = this.estimateWaitMs(request, ahead, state) + meanMs / 2;
    if (neededMs > request.remainingMs) return { kind: 'refuse', code: ResultCode.QueueFull };
    return { kind: 'wait' };
  }

  override getRank(): number {
    return 0;
  }

  override getClass(): number {
    return 0;
  }

  override estimateWaitMs(request: IGrantRequest, ahead: number, state: IServiceState): number {
    const slots = state.targets
      .filter(({ isReady }) => isReady)
      .reduce((sum, { record }) => sum + record.slots, 0);
    const meanMs = state.processingTimes.getMeanMs(request.route, request.objectiveMs);
    return (ahead * meanMs) / Math.max(1, slots);
  }

  private pick(request: IGrantRequest, state: IServiceState): TargetState | undefined {
    const free = listFreeTargets(request, state);
    const firstDue = free.find((target) => isFirstRequestDue(target, request, state.nowMs));
    if (firstDue !== undefined) return firstDue;
    if (state.isFailing && state.usage.share < state.floorShare) return findLeastRecent(free);
    return this.findCheapest(free, request, state);
  }

  private findCheapest(
    free: readonly TargetState[],
    request: IGrantRequest,
    state: IServiceState,
  ): TargetState | undefined {
    const { model, nowMs, retriesUsed } = state;
    const { failingFailureRate } = model;
    const context = { request, weights: this.weights, failingFailureRate, retriesUsed, nowMs };
    let best: TargetState | undefined;
    let bestCost = Infinity;
    for (const target of free) {
      const cost = computeTargetCost(target, context);
      if (cost >= bestCost) continue;
      best = target;
      bestCost = cost;
    }
    return best;
  }
}

function findLeastRecent(free: readonly TargetState[]): TargetState | undefined {
  let least: TargetState | undefined;
  for (const target of free) {
    const isLess = (target.lastGrantMs ?? 0) < (least?.lastGrantMs ?? 0);
    if (least === undefined || isLess) least = target;
  }
  return least;
}
