/** How many requests at a time a target has accepted of late. */

/**
 * A limit on the slots in use that ends by itself, so that the target is tried at its full slots again.
 *
 * @example
 * acceptedSlots.set(1, now + 1000);
 * acceptedSlots.get(now); // 1
 */
export class AcceptedSlots {
  private slots = Infinity;
  private untilMs = -Infinity;

  set(slots: number, untilMs: number): void {
    this.slots = slots;
    this.untilMs = untilMs;
  }

  end(): void {
    this.untilMs = -Infinity;
  }

  /** The limit; Infinity without one. */
  get(nowMs: number): number {
    return nowMs < this.untilMs ? this.slots : Infinity;
  }
}
