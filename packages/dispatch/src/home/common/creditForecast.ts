/** What an answer to one request will be worth, by when its work begins. */
import type { IWaitingRequest } from './grantPolicy.js';
import type { ProcessingTimes } from './processingTimes.js';

/**
 * The forecast rests on what sound targets took for the same route lately.
 *
 * @example
 * const forecast = new CreditForecast(waiting, processingTimes, 0.7);
 * forecast.getCredit(0); // 0.97: nearly all answers come in time when the work begins now
 */
export class CreditForecast {
  private readonly objectiveLeftMs: number;
  private readonly deadlineLeftMs: number;

  constructor(
    private readonly waiting: IWaitingRequest,
    private readonly processingTimes: ProcessingTimes,
    /** Credit of an answer after the objective, as a share of one that comes in time. */
    private readonly lateCredit: number,
  ) {
    const { request, waitedMs } = waiting;
    this.objectiveLeftMs = request.objectiveMs - waitedMs;
    this.deadlineLeftMs = request.remainingMs - waitedMs;
  }

  /** Expected credit, from 0 to 1, if the work begins after `delayMs`. */
  getCredit(delayMs: number): number {
    const inTime = this.getShareWithin(
      Math.min(this.objectiveLeftMs, this.deadlineLeftMs) - delayMs,
    );
    const atAll = this.getShareWithin(this.deadlineLeftMs - delayMs);
    return inTime + this.lateCredit * (atAll - inTime);
  }

  private getShareWithin(ms: number): number {
    const { objectiveMs, route } = this.waiting.request;
    return this.processingTimes.getShareWithin(route, objectiveMs, ms);
  }
}
