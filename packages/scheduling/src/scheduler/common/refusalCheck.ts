/** Finds requests that can't be scheduled at all. */
import { ResultCode } from '@parsleymux/base';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { RejectionControl } from '../../retries/common/rejectionControl.js';
import type { ServiceModel } from './serviceModel.js';
import type { Ticket } from './ticket.js';

/** The parts of a scheduler on which the check depends. */
export interface IRefusalCheckParts {
  readonly queue: RequestQueue<Ticket>;
  readonly rejections: RejectionControl | undefined;
}

/**
 * Returns why a new request is refused without a decision of the policy; undefined if it isn't.
 *
 * @example
 * const code = findRefusal(ticket, { queue, rejections }, model, nowMs);
 */
export function findRefusal(
  ticket: Ticket,
  { queue, rejections }: IRefusalCheckParts,
  { retries, targets }: ServiceModel,
  nowMs: number,
): ResultCode | undefined {
  if (!targets.hasUsable(ticket.request)) return ResultCode.NoTarget;
  if (!ticket.request.isRetry) return undefined;
  // Queued retries are going to be sent too. If they weren't counted, every retry that arrives while
  // the slots are in use would be admitted by the same remainder of the allowance.
  const pending = queue.count(({ request }) => request.isRetry);
  const isOpen = rejections?.isOpen(ticket, pending, nowMs) ?? retries.isOpen(nowMs, pending);
  return isOpen ? undefined : ResultCode.RetryBudgetSpent;
}
