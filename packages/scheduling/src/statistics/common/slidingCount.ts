/** Counts events in a sliding window. */

/** Number of parts of a window; events expire at most one part late. */
export const PARTS_PER_WINDOW = 20;

/**
 * Counts the events of the last `windowMs`.
 *
 * @example
 * const arrivals = new SlidingCount(10_000);
 * arrivals.add(now);
 * arrivals.count(now);
 */
export class SlidingCount {
  private readonly parts = new Array<number>(PARTS_PER_WINDOW).fill(0);
  /** Length of one part, in ms: a whole number, as peers exchange counts by part in messages. */
  readonly partMs: number;
  private newestPart = 0;

  constructor(windowMs: number) {
    this.partMs = Math.max(1, Math.ceil(windowMs / PARTS_PER_WINDOW));
  }

  add(nowMs: number): void {
    this.advance(nowMs);
    const index = this.newestPart % PARTS_PER_WINDOW;
    this.parts[index] = (this.parts[index] ?? 0) + 1;
  }

  /** Removes the newest event within the window. */
  remove(nowMs: number): void {
    this.advance(nowMs);
    for (let age = 0; age < PARTS_PER_WINDOW; age += 1) {
      const index = (this.newestPart - age + PARTS_PER_WINDOW) % PARTS_PER_WINDOW;
      const count = this.parts[index] ?? 0;
      if (count === 0) continue;
      this.parts[index] = count - 1;
      return;
    }
  }

  count(nowMs: number): number {
    this.advance(nowMs);
    return this.parts.reduce((sum, part) => sum + part, 0);
  }

  /**
   * Estimates when the `nth` oldest event, from 1, leaves the window; undefined if there are fewer. The events
   * of a part leave together; the estimate spreads them over the length of the next part.
   */
  estimateExpiryMs(nth: number, nowMs: number): number | undefined {
    this.advance(nowMs);
    let older = 0;
    for (let age = PARTS_PER_WINDOW - 1; age >= 0; age -= 1) {
      const part = this.newestPart - age;
      const count = part < 0 ? 0 : (this.parts[part % PARTS_PER_WINDOW] ?? 0);
      if (nth <= older + count) {
        return (part + PARTS_PER_WINDOW + (nth - older - 1) / count) * this.partMs;
      }
      older += count;
    }
    return undefined;
  }

  /** Counts per part, newest first, without trailing empty parts. */
  list(nowMs: number): readonly number[] {
    this.advance(nowMs);
    const counts = this.parts.map((_, age) => {
      return this.parts[(this.newestPart - age + PARTS_PER_WINDOW) % PARTS_PER_WINDOW] ?? 0;
    });
    const last = counts.findLastIndex((count) => count > 0);
    return counts.slice(0, last + 1);
  }

  private advance(nowMs: number): void {
    const part = Math.floor(nowMs / this.partMs);
    const steps = Math.min(PARTS_PER_WINDOW, part - this.newestPart);
    for (let step = 1; step <= steps; step += 1)
      this.parts[(part - steps + step) % PARTS_PER_WINDOW] = 0;
    if (part > this.newestPart) this.newestPart = part;
  }
}
