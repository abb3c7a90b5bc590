/** Chooses the target for a request among those with a free slot. */
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { BookedTarget } from './bookedTarget.js';
import type { ITargetCostWeights } from './targetCost.js';
import { computeTargetCost, DEFAULT_COST_WEIGHTS } from './targetCost.js';

/** A new target gets its first request this long after it joined, in ms. */
const FIRST_IDEMPOTENT_AFTER_MS = 500;
/** Requests that can't be repeated try a new target only if no others came in this time, in ms. */
const FIRST_REQUEST_AFTER_MS = 2000;

/** What is chosen from. */
export interface IPickOptions {
  readonly targets: readonly BookedTarget[];
  readonly request: IGrantRequest;
  readonly failingFailureRate: number;
  /** Share of the service's retry allowance that is used up, from 0 to 1. */
  readonly retriesUsed: number;
  /** Whether targets that get no requests must be used too. */
  readonly hasToSpread: boolean;
  readonly nowMs: number;
}

/**
 * Picks the lowest cost, but sees to it that new targets are tried and floors kept.
 *
 * @example
 * const target = new TargetPicker().pick({ targets, request, failingFailureRate, hasToSpread, nowMs });
 */
export class TargetPicker {
  private readonly weights: ITargetCostWeights;

  constructor(weights: Partial<ITargetCostWeights> = {}) {
    this.weights = { ...DEFAULT_COST_WEIGHTS, ...weights };
  }

  /** Undefined when no target that the request may go to has a free slot. */
  pick(options: IPickOptions): BookedTarget | undefined {
    const { request, nowMs } = options;
    const excluded = new Set(request.excluded);
    const free = options.targets.filter((target) => {
      return target.isReady && target.hasFreeSlot(nowMs) && !excluded.has(target.record.id);
    });
    const untried = free.find((target) => this.isFirstDue(target, request, nowMs));
    if (untried !== undefined) return untried;
    if (options.hasToSpread) return findLeastRecent(free);
    return this.findCheapest(free, options);
  }

  /** A target that never got a request is idle capacity, and nothing is known of it until it does. */
  private isFirstDue(target: BookedTarget, request: IGrantRequest, nowMs: number): boolean {
    if (!target.isNew || target.granted > 0 || request.attempt > 1) return false;
    const waitMs = request.isIdempotent ? FIRST_IDEMPOTENT_AFTER_MS : FIRST_REQUEST_AFTER_MS;
    return nowMs > target.joinedMs + waitMs;
  }

  private findCheapest(
    free: readonly BookedTarget[],
    options: IPickOptions,
  ): BookedTarget | undefined {
    const context = { ...options, weights: this.weights };
    let best: BookedTarget | undefined;
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

function findLeastRecent(free: readonly BookedTarget[]): BookedTarget | undefined {
  let least: BookedTarget | undefined;
  for (const target of free) {
    const isLess = (target.lastGrantMs ?? 0) < (least?.lastGrantMs ?? 0);
    if (least === undefined || isLess) least = target;
  }
  return least;
}
