/** Tells callers to return after the time that they would have waited in the queue. */
import { ResultCode } from '@parsleymux/base';
import type { IPlannedReturn } from './plannedReturn.js';
import type { IRefusedRequest } from './returnPlanner.js';
import { ReturnPlanner } from './returnPlanner.js';

/** Retry-After if no target is usable, in ms: time for a target to register. */
const NO_TARGET_RETRY_AFTER_MS = 500;
/** Bounds of the Retry-After of other rejections, in ms. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 5000;

/**
 * Keeps no state: all callers that are refused in the same moment are told the same time.
 *
 * @example
 * const { retryAfterMs } = planner.planReturn(refused);
 */
export class ExpectedWaitPlanner extends ReturnPlanner {
  override planReturn({ code, expectedWaitMs }: IRefusedRequest): IPlannedReturn {
    if (code === ResultCode.NoTarget) return { retryAfterMs: NO_TARGET_RETRY_AFTER_MS };
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(expectedWaitMs));
    return { retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, waitMs) };
  }

  override isDue(): boolean {
    return false;
  }

  override countPromised(): number {
    return 0;
  }

  override recordAccepted(): void {
    // Nothing is promised.
  }
}
