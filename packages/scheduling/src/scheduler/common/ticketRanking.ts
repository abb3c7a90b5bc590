/** Ranks tickets by a policy, and keeps promised turns. */
import type { GrantPolicy, IServiceState } from '../../admission/common/grantPolicy.js';
import type { RankFunction, RequestQueue } from '../../fairness/common/requestQueue.js';
import type { ServiceModel } from './serviceModel.js';
import type { Ticket } from './ticket.js';

/**
 * Returns the ranking of queued tickets by `policy`, as the queue needs it.
 *
 * @example
 * const tickets = queue.list(makeRanking(policy, state, queue));
 */
export function makeRanking(
  policy: GrantPolicy,
  state: IServiceState,
  { needsClasses }: Pick<RequestQueue<Ticket>, 'needsClasses'>,
): RankFunction<Ticket> {
  return ({ request, requestedMs }) => {
    const waiting = { request, waitedMs: state.nowMs - requestedMs };
    return needsClasses ? policy.getClass(waiting, state) : policy.getRank(waiting, state);
  };
}

/**
 * Whether the caller returned at the time that it was told, and its request gets a slot early enough to
 * finish by its deadline.
 *
 * @example
 * if (hasTurn(ticket, ahead, policy, state)) queue.push(ticket);
 */
export function hasTurn(
  ticket: Ticket,
  ahead: number,
  policy: GrantPolicy,
  state: IServiceState,
): boolean {
  const { endMs, isReturnDue, request } = ticket;
  if (!isReturnDue) return false;
  const waitMs = policy.estimateWaitMs(request, ahead, state);
  const processingMs = state.processingTimes.getMeanMs(request.route, request.objectiveMs);
  return state.nowMs + waitMs + processingMs <= endMs;
}

/**
 * Whether the deadline of a queued request is too near for it to be processed.
 *
 * @example
 * if (isTooLate(ticket, model, nowMs)) refuse(ticket);
 */
export function isTooLate(
  { endMs, request }: Ticket,
  { processingTimes }: ServiceModel,
  nowMs: number,
): boolean {
  return endMs - nowMs < processingTimes.getMeanMs(request.route, request.objectiveMs) / 2;
}
