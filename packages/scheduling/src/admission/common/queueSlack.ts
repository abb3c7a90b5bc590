/** Computes how many requests may join a queue ahead of others. */

/**
 * The slack of queued requests at one moment. It stays nearly the same while slots are released as expected, since
 * limits and turns come nearer alike.
 *
 * @example
 * const slack = new QueueSlack([100, 250], 50, nowMs);
 * slack.hasRoom(0, 50); // true
 */
export class QueueSlack {
  /** The least slack of each queued request and those behind it, in ms. */
  private readonly leastMs: number[] = [];
  private joined = 0;

  /** `limitsMs`: until when each request must get its slot, in the order of slots; negative if that has passed. */
  constructor(
    limitsMs: readonly number[],
    slotMs: number,
    /** Time of the moment, in ms of the monotonic clock. */
    readonly atMs: number,
  ) {
    let leastMs = Infinity;
    for (let index = limitsMs.length - 1; index >= 0; index -= 1) {
      const limitMs = limitsMs[index] ?? 0;
      if (limitMs >= 0) leastMs = Math.min(leastMs, limitMs - (index + 1) * slotMs);
      this.leastMs[index] = leastMs;
    }
  }

  /** Whether those behind the first `ahead` requests still get their slots in time if another one joins before them. */
  hasRoom(ahead: number, slotMs: number): boolean {
    return (this.leastMs[Math.floor(ahead)] ?? Infinity) >= (this.joined + 1) * slotMs;
  }

  /** Counts a request that has joined since. */
  recordJoined(): void {
    this.joined += 1;
  }
}
