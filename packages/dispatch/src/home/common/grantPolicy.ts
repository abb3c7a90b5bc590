/** Deciding what becomes of a request: granted a target now, left to wait, or refused. */
import type { ResultCode } from '@parsleymux/base';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { ResponseSizes } from './responseSizes.js';
import type { TargetState } from './targetState.js';
import type { FailureModel } from './failureModel.js';
import type { ITargetUsage } from './outcomeWindow.js';
import type { ProcessingTimes } from './processingTimes.js';

/** A new target gets its first request this long after it joined, in ms. */
const FIRST_IDEMPOTENT_REQUEST_DELAY_MS = 500;
/** Requests that can't be repeated try a new target only if no others came in this time, in ms. */
const FIRST_REQUEST_DELAY_MS = 2000;

/** A request that wants a target. */
export interface IWaitingRequest {
  readonly request: IGrantRequest;
  /** Since it was asked for, in ms. */
  readonly waitedMs: number;
  /** Requests that get a target before it. */
  readonly ahead: number;
}

/** A service at the moment of a decision. */
export interface IServiceState {
  readonly targets: readonly TargetState[];
  readonly model: FailureModel;
  readonly processingTimes: ProcessingTimes;
  readonly responseSizes: ResponseSizes;
  /** Share of the service's retry allowance that is used up, from 0 to 1. */
  readonly retriesUsed: number;
  /** Whether many requests fail; see ServedWindow. */
  readonly isFailing: boolean;
  readonly usage: ITargetUsage;
  /** Share of the sound targets that must be in use while many requests fail, from 0 to 1. */
  readonly floorShare: number;
  /** Requests that wait for a slot. */
  readonly queued: number;
  readonly nowMs: number;
}

/** What becomes of a request. */
export type PolicyDecision =
  | { readonly kind: 'grant'; readonly target: TargetState }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly code: ResultCode };

/**
 * Decides without a network, a clock or a memory of its own: all it goes by is what it is given, so
 * a policy can be tried in a simulation and takes effect unchanged.
 */
export abstract class GrantPolicy {
  /** Decides on one request. The target of a grant is ready, has a free slot and isn't excluded. */
  abstract decide(waiting: IWaitingRequest, state: IServiceState): PolicyDecision;

  /** Of requests of one priority, those with the lower rank get a slot first. */
  abstract getRank(waiting: Omit<IWaitingRequest, 'ahead'>, state: IServiceState): number;

  /** How long a request with `ahead` others before it is likely to wait for a slot, in ms. */
  abstract estimateWaitMs(request: IGrantRequest, ahead: number, state: IServiceState): number;
}

/** Targets that a request can be sent to right now. */
export function listFreeTargets(
  { excluded }: IGrantRequest,
  { nowMs, targets }: IServiceState,
): readonly TargetState[] {
  return targets.filter((target) => {
    return target.isReady && target.hasFreeSlot(nowMs) && !excluded.includes(target.record.id);
  });
}

/** A target that never got a request is idle capacity, and nothing is known of it until it does. */
export function isFirstRequestDue(
  target: TargetState,
  request: IGrantRequest,
  nowMs: number,
): boolean {
  if (!target.isNew || target.granted > 0 || request.attempt > 1) return false;
  const waitMs = request.isIdempotent ? FIRST_IDEMPOTENT_REQUEST_DELAY_MS : FIRST_REQUEST_DELAY_MS;
  return nowMs > target.joinedMs + waitMs;
}
