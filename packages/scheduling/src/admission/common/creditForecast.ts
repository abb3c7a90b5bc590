/** Estimates the credit of one request, depending on when its processing starts. */
import type { IWaitingRequest } from './grantPolicy.js';
import type { ProcessingTimes } from '../../capacity/common/processingTimes.js';

/**
 * Derives the credit from recent processing times of the same route.
 *
 * @example
 * const forecast = new CreditForecast(waiting, processingTimes, 0.7);
 * forecast.getCredit(0); // 0.97: nearly all responses meet the objective if processing starts now
 */
export class CreditForecast {
  private readonly objectiveLeftMs: number;
  private readonly deadlineLeftMs: number;

  constructor(
    private readonly waiting: IWaitingRequest,
    private readonly processingTimes: ProcessingTimes,
    /** Credit of a response after the objective, relative to one within it. */
    private readonly lateCredit: number,
  ) {
    const { request, waitedMs } = waiting;
    this.objectiveLeftMs = request.objectiveMs - waitedMs;
    this.deadlineLeftMs = request.remainingMs - waitedMs;
  }

  /**
   * Expected credit, from 0 to 1, if processing starts after `delayMs` at a target that takes `factor` times
   * as long as the recorded times.
   */
  getCredit(delayMs: number, factor = 1): number {
    const inTime = this.getShareWithin(
      (Math.min(this.objectiveLeftMs, this.deadlineLeftMs) - delayMs) / factor,
    );
    const atAll = this.getShareWithin((this.deadlineLeftMs - delayMs) / factor);
    return inTime + this.lateCredit * (atAll - inTime);
  }

  private getShareWithin(ms: number): number {
    const { objectiveMs, route } = this.waiting.request;
    return this.processingTimes.getShareWithin(route, objectiveMs, ms);
  }
}
