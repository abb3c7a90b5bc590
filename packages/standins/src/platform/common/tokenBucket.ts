/** Limits the rate of operations. */

/**
 * A token bucket that allows bursts of up to one second's operations.
 *
 * @example
 * const bucket = new TokenBucket();
 * if (!bucket.take(300, nowMs)) refuse();
 */
export class TokenBucket {
  private tokens = Infinity;
  private lastMs = 0;

  /** Takes one token, at a refill rate of `perSecond`; 0: no limit. Returns false if none is available. */
  take(perSecond: number, nowMs: number): boolean {
    if (perSecond === 0) return true;
    const refilled = this.tokens + ((nowMs - this.lastMs) * perSecond) / 1000;
    this.tokens = Math.min(perSecond, refilled);
    this.lastMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
