/** The interface of policies that decide whether a request is granted a target, queued or rejected. */
import type { ResultCode } from '@parsleymux/base';
import type { IAdmissionSettings } from './admissionSettings.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { ResponseSizes } from '../../capacity/common/responseSizes.js';
import type { ServiceSpeeds } from '../../capacity/common/serviceSpeeds.js';
import type { TargetState } from '../../capacity/common/targetState.js';
import type { FailureModel } from '../../health/common/failureModel.js';
import type { ITargetUsage } from '../../health/common/outcomeWindow.js';
import type { ProcessingTimes } from '../../capacity/common/processingTimes.js';

/** Delay before a new target may get its first request, if that is idempotent, in ms. */
const FIRST_IDEMPOTENT_REQUEST_DELAY_MS = 500;
/** The same for a request that is not idempotent, in ms: longer, so that idempotent ones come first. */
const FIRST_REQUEST_DELAY_MS = 2000;

/** A request that needs a target. */
export interface IWaitingRequest {
  readonly request: IGrantRequest;
  /** Time since the grant was requested, in ms. */
  readonly waitedMs: number;
  /** Number of queued requests ahead of it. */
  readonly ahead: number;
}

/** The state of a service at the time of a decision. */
export interface IServiceState {
  readonly targets: readonly TargetState[];
  readonly model: FailureModel;
  readonly processingTimes: ProcessingTimes;
  readonly responseSizes: ResponseSizes;
  /** Learned speeds of the targets; undefined if they are not learned. */
  readonly speeds?: ServiceSpeeds | undefined;
  /** Share of the service's retry allowance that is used up, from 0 to 1. */
  readonly retriesUsed: number;
  /** Whether many requests fail; see OutcomeWindow. */
  readonly isFailing: boolean;
  readonly usage: ITargetUsage;
  /** Share of the healthy targets that must be in use while many requests fail, from 0 to 1. */
  readonly floorShare: number;
  /** Number of requests that wait for a slot. */
  readonly queued: number;
  readonly nowMs: number;
  /** Settings of the deployment; undefined if there are none, so that those of the policy hold. */
  readonly admission?: IAdmissionSettings | undefined;
}

/** The decision on a request. */
export type PolicyDecision =
  | { readonly kind: 'grant'; readonly target: TargetState }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly code: ResultCode };

/**
 * Decides on requests from its arguments alone, without a network, a clock or state of its own, so
 * that the same policy can run in a simulation and in production.
 */
export abstract class GrantPolicy {
  /** Decides on one request. A granted target is ready, has a free slot and isn't excluded. */
  abstract decide(waiting: IWaitingRequest, state: IServiceState): PolicyDecision;

  /** Rank of a request among those of the same priority; lower ranks get slots first. */
  abstract getRank(waiting: Omit<IWaitingRequest, 'ahead'>, state: IServiceState): number;

  /** Class of a request within its priority; one of few, so that each can be divided between tenants. */
  abstract getClass(waiting: Omit<IWaitingRequest, 'ahead'>, state: IServiceState): number;

  /** Estimated wait of a request with `ahead` queued requests ahead of it, in ms. */
  abstract estimateWaitMs(request: IGrantRequest, ahead: number, state: IServiceState): number;
}

/** Targets to which a request can be sent immediately. */
export function listFreeTargets(
  { excluded }: IGrantRequest,
  { nowMs, targets }: IServiceState,
): readonly TargetState[] {
  return targets.filter((target) => {
    return target.isReady && target.hasFreeSlot(nowMs) && !excluded.includes(target.record.id);
  });
}

/** Whether any target has a free slot. */
export function hasFreeTarget({ nowMs, targets }: IServiceState): boolean {
  return targets.some((target) => target.isReady && target.hasFreeSlot(nowMs));
}

/** Whether a new target should get its first request: until then it is idle capacity of unknown health. */
export function isFirstRequestDue(
  target: TargetState,
  request: IGrantRequest,
  nowMs: number,
): boolean {
  if (!target.isNew || target.granted > 0 || request.attempt > 1) return false;
  const waitMs = request.isIdempotent ? FIRST_IDEMPOTENT_REQUEST_DELAY_MS : FIRST_REQUEST_DELAY_MS;
  return nowMs > target.joinedMs + waitMs;
}
