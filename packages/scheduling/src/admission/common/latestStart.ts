/** Computes until when the processing of a request must start. */
import type { ProcessingTimes } from '../../capacity/common/processingTimes.js';
import type { IWaitingRequest } from './grantPolicy.js';

/** Multiple of the mean processing time within which most requests finish. */
const PROCESSING_MARGIN = 1.5;

/** Times from now until which processing must start, in ms; negative if they have passed. */
export interface ILatestStarts {
  readonly forObjectiveMs: number;
  readonly forDeadlineMs: number;
}

/**
 * Returns until when a request must start to meet its objective and its deadline.
 *
 * @example
 * const { forObjectiveMs } = computeLatestStarts(waiting, processingTimes);
 */
export function computeLatestStarts(
  { request, waitedMs }: Omit<IWaitingRequest, 'ahead'>,
  processingTimes: ProcessingTimes,
): ILatestStarts {
  const meanMs = processingTimes.getMeanMs(request.route, request.objectiveMs);
  const spentMs = waitedMs + meanMs * PROCESSING_MARGIN;
  return {
    forObjectiveMs: Math.min(request.objectiveMs, request.remainingMs) - spentMs,
    forDeadlineMs: request.remainingMs - spentMs,
  };
}

/**
 * Returns until when a request must start to meet its objective, or its deadline once the objective can't
 * be met, in ms from now; 0 for a second attempt.
 *
 * @example
 * tickets.sort((left, right) => computeLatestStartMs(left, times) - computeLatestStartMs(right, times));
 */
export function computeLatestStartMs(
  waiting: Omit<IWaitingRequest, 'ahead'>,
  processingTimes: ProcessingTimes,
): number {
  // The time before a second attempt is not known here, but it has had its turn once.
  if (waiting.request.attempt > 1) return 0;
  const { forDeadlineMs, forObjectiveMs } = computeLatestStarts(waiting, processingTimes);
  return forObjectiveMs >= 0 ? forObjectiveMs : forDeadlineMs;
}
