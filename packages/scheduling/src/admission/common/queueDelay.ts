/** Tells a standing queue from a burst by its delay. */

const INTERVAL_MS = 250;
/** A queue that drains within this share of an objective does not stand. */
const BURST_SHARE = 1 / 8;

/**
 * As in CoDel, the least delay of an interval counts: a burst drains within it, a standing queue doesn't.
 * Delays are relative to objectives, so that requests of different routes can be compared.
 *
 * @example
 * delay.record(drainMs / objectiveMs, nowMs);
 * delay.isStanding(nowMs);
 */
export class QueueDelay {
  private startMs = -Infinity;
  private least = Infinity;
  private wasStanding = false;

  /** Records the time in which the queue drains, as a share of the objective of a request. */
  record(delayShare: number, nowMs: number): void {
    this.advance(nowMs);
    this.least = Math.min(this.least, delayShare);
  }

  /** Whether the queue never drained nearly in the last whole interval. */
  isStanding(nowMs: number): boolean {
    this.advance(nowMs);
    return this.wasStanding && this.least > BURST_SHARE;
  }

  private advance(nowMs: number): void {
    const passedMs = nowMs - this.startMs;
    if (passedMs < INTERVAL_MS) return;
    const isNext = passedMs < 2 * INTERVAL_MS;
    this.wasStanding = isNext && this.least < Infinity && this.least > BURST_SHARE;
    this.startMs = isNext ? this.startMs + INTERVAL_MS : nowMs;
    this.least = Infinity;
  }
}
