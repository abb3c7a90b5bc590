/** Creates the queue of a service, and finds queued requests to refuse instead of new ones. */
import type { Clock } from '@parsleymux/base';
import type { GrantPolicy, IServiceState } from '../../admission/common/grantPolicy.js';
import { FairQueue } from '../../fairness/common/fairQueue.js';
import { GrantQueue } from '../../fairness/common/grantQueue.js';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { RequestAdmission } from '../../quotas/common/requestAdmission.js';
import type { ISchedulingSettings } from '../../settings/common/schedulingSettings.js';
import type { ServiceModel } from './serviceModel.js';
import type { Ticket } from './ticket.js';
import { makeRanking } from './ticketRanking.js';

/** Margin of the expected wait: about half of the requests wait longer than expected. */
const WAIT_MARGIN_FACTOR = 2;

/** Options of {@link createRequestQueue}. */
export interface IRequestQueueOptions {
  readonly clock: Clock;
  readonly scheduling?: ISchedulingSettings | undefined;
  /** Undefined if requests are not assigned to tenants. */
  readonly admission?: RequestAdmission | undefined;
}

/** A request that the policy would queue. */
export interface IShareCheck {
  readonly ticket: Ticket;
  /** Requests that get a slot before it. */
  readonly ahead: number;
  readonly queue: RequestQueue<Ticket>;
  readonly policy: GrantPolicy;
}

/**
 * Creates a queue with fair shares if these are enabled and requests are assigned to tenants.
 *
 * @example
 * const queue = createRequestQueue(options, model);
 */
export function createRequestQueue(
  { admission, clock, scheduling }: IRequestQueueOptions,
  { processingTimes }: ServiceModel,
): RequestQueue<Ticket> {
  const { fairness } = scheduling ?? {};
  if (fairness?.isEnabled !== true || admission === undefined) return new GrantQueue<Ticket>();
  return new FairQueue<Ticket>({
    clock,
    weights: fairness.weights,
    getCostMs: ({ request }) => processingTimes.getMeanMs(request.route, request.objectiveMs),
  });
}

/**
 * Finds the queued request to refuse instead of the new `ticket`: one of the tenant furthest beyond its share,
 * if the new request would then be queued.
 *
 * @example
 * const victim = findReplaceable(ticket, queue, policy, model);
 */
export function findReplaceable(
  ticket: Ticket,
  queue: RequestQueue<Ticket>,
  policy: GrantPolicy,
  model: ServiceModel,
): Ticket | undefined {
  const { request } = ticket;
  if (request.isHedge) return undefined;
  const victim = queue.findVictim(ticket);
  if (victim === undefined) return undefined;
  const state = model.getState(queue.size - 1);
  const ahead = queue.countAhead(ticket, makeRanking(policy, state, queue));
  const waitedMs = ticket.getWaitedMs(state.nowMs);
  const { kind } = policy.decide({ request, waitedMs, ahead }, state);
  return kind === 'wait' ? victim : undefined;
}

/**
 * Whether a new request is likely to be late after its wait while its tenant has others waiting: within the
 * tenant's share, a late response takes the slot of one in time. False for a second attempt, since a refusal
 * states that the request has not run.
 *
 * @example
 * if (isLateForShare({ ticket, ahead, queue, policy }, state)) refuse(ticket);
 */
export function isLateForShare(
  { ahead, policy, queue, ticket }: IShareCheck,
  state: IServiceState,
): boolean {
  const { request } = ticket;
  if (request.attempt > 1 || ticket.getWaitedMs(state.nowMs) > 0) return false;
  if (!queue.hasBacklog(ticket)) return false;
  const processingMs = state.processingTimes.getMeanMs(request.route, request.objectiveMs);
  const waitMs = WAIT_MARGIN_FACTOR * policy.estimateWaitMs(request, ahead, state);
  return waitMs + processingMs > request.objectiveMs;
}
