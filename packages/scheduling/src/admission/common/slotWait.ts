/** Estimates how long a request waits for a slot of a healthy target, and what it earns then. */
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { CreditForecast } from './creditForecast.js';
import type { IServiceState, IWaitingRequest } from './grantPolicy.js';

/** Minimum number of healthy slots that is assumed even if every target is considered failing. */
const MIN_SLOTS = 0.5;

/**
 * Slots of the usable targets, weighted by the probability that the target is healthy and by its speed.
 *
 * @example
 * const slots = countHealthySlots(request, state);
 */
export function countHealthySlots(request: IGrantRequest, state: IServiceState): number {
  const { nowMs, targets, speeds } = state;
  const processingMs = getProcessingMs(request, state);
  let slots = 0;
  let usable = 0;
  for (const target of targets) {
    const { health, isReady, record } = target;
    if (!isReady || request.excluded.includes(record.id)) continue;
    const factor = speeds?.getMeanFactor(target, nowMs) ?? 1;
    const targetSlots = target.countUsableSlots(processingMs * factor, nowMs) / factor;
    usable += targetSlots;
    slots += targetSlots * (1 - health.getSuspicion(nowMs));
  }
  return Math.max(usable > 0 ? Math.min(MIN_SLOTS, usable) : MIN_SLOTS, slots);
}

/**
 * Expected wait in ms. While all healthy slots are in use, one is released with each finished request, of
 * any route of the service. Based on the request's own route, a long request would be rejected behind
 * short ones, and a short one admitted behind long ones.
 *
 * @example
 * const waitMs = computeWaitMs(request, 3, healthySlots, state);
 */
export function computeWaitMs(
  request: IGrantRequest,
  ahead: number,
  healthySlots: number,
  state: IServiceState,
): number {
  return ((ahead + 1) * getProcessingMs(request, state)) / healthySlots;
}

/**
 * Expected credit of a request that waits for a slot of any target, or, if that is more, for one of a fast target.
 *
 * @example
 * const credit = computeWaitCredit({ request, ahead }, healthySlots, forecast, state);
 */
export function computeWaitCredit(
  { ahead, request }: Pick<IWaitingRequest, 'ahead' | 'request'>,
  healthySlots: number,
  forecast: CreditForecast,
  state: IServiceState,
): number {
  const { nowMs, speeds, targets } = state;
  const credit = forecast.getCredit(computeWaitMs(request, ahead, healthySlots, state));
  if (speeds === undefined) return credit;
  // Slots are weighted by speed, so that those of average speed are released most of the time.
  const fast = targets.filter((target) => {
    return target.isReady && speeds.getMeanFactor(target, nowMs) <= 1;
  });
  if (fast.length === 0 || fast.length === targets.length) return credit;
  const fastSlots = countHealthySlots(request, { ...state, targets: fast });
  const factor =
    fast.reduce((sum, target) => sum + speeds.getMeanFactor(target, nowMs), 0) / fast.length;
  const fastWaitMs = computeWaitMs(request, ahead, fastSlots, state);
  return Math.max(credit, forecast.getCredit(fastWaitMs, factor));
}

function getProcessingMs(
  { objectiveMs }: IGrantRequest,
  { processingTimes, speeds }: IServiceState,
): number {
  return (speeds?.workTimes ?? processingTimes).getServiceMeanMs(objectiveMs);
}
