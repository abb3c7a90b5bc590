/** The largest of the values recorded within a recent time. */

/**
 * Keeps two maxima in turn instead of all values.
 *
 * @example
 * const delays = new RecentMaximum(1000);
 * delays.record(12, nowMs);
 */
export class RecentMaximum {
  private startMs = -Infinity;
  private current = 0;
  private previous = 0;

  /** Values count for `windowMs` to twice that time, in ms. */
  constructor(private readonly windowMs: number) {}

  record(value: number, nowMs: number): void {
    this.rotate(nowMs);
    this.current = Math.max(this.current, value);
  }

  /** Returns the largest value, 0 if there is none. */
  get(nowMs: number): number {
    this.rotate(nowMs);
    return Math.max(this.current, this.previous);
  }

  private rotate(nowMs: number): void {
    const sinceMs = nowMs - this.startMs;
    if (sinceMs < this.windowMs) return;
    this.previous = sinceMs < this.windowMs * 2 ? this.current : 0;
    this.current = 0;
    this.startMs = nowMs;
  }
}
