/**
 * Queue of requests that wait for a slot. Callers are served in round-robin order, so that a burst
 * from one caller does not delay the others; requests of one caller are ordered by deadline.
 */

/** A waiting request. */
export interface IWaiter {
  readonly caller: string;
  /** Instant on the monotonic clock, in ms. */
  readonly deadlineMs: number;
}

/**
 * A queue that is fair between callers.
 *
 * @example
 * const queue = new WaitQueue<IWaiter>();
 * queue.add({ caller: 'a', deadlineMs: 100 });
 * const next = queue.take(() => true);
 */
export class WaitQueue<T extends IWaiter> {
  /** Insertion order is the round-robin order: a caller that was served moves to the end. */
  private readonly byCaller = new Map<string, T[]>();
  private count = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.count;
  }

  /** Inserts a waiter among those of its caller, ordered by deadline. */
  add(waiter: T): void {
    const waiters = this.byCaller.get(waiter.caller) ?? [];
    let index = waiters.length;
    while (index > 0 && (waiters[index - 1]?.deadlineMs ?? 0) > waiter.deadlineMs) index -= 1;
    waiters.splice(index, 0, waiter);
    this.byCaller.set(waiter.caller, waiters);
    this.count += 1;
  }

  /** Removes and returns the next waiter that `canTake` accepts. */
  take(canTake: (waiter: T) => boolean): T | undefined {
    for (const [caller, waiters] of this.byCaller) {
      const index = waiters.findIndex(canTake);
      const waiter = waiters[index];
      if (waiter === undefined) continue;
      this.removeAt(caller, waiters, index);
      if (waiters.length > 0) this.putLast(caller, waiters);
      return waiter;
    }
    return undefined;
  }

  /** Removes the waiter. False when it is not in the queue. */
  remove(waiter: T): boolean {
    const waiters = this.byCaller.get(waiter.caller);
    const index = waiters?.indexOf(waiter) ?? -1;
    if (waiters === undefined || index < 0) return false;
    this.removeAt(waiter.caller, waiters, index);
    return true;
  }

  /**
   * Makes room for a new request when the queue is full: removes and returns the last waiter of the
   * caller with the most waiters, if it has at least two more than `newcomer`, the new request's caller.
   */
  takeFromLongest(newcomer: string): T | undefined {
    const victim = this.findReplaceable(newcomer);
    if (victim !== undefined) this.remove(victim);
    return victim;
  }

  /** True when {@link takeFromLongest} would remove a waiter. */
  hasRoomFor(newcomer: string): boolean {
    return this.findReplaceable(newcomer) !== undefined;
  }

  /** Number of waiters that are served before a new request of this caller. */
  countAhead(caller: string): number {
    const own = this.byCaller.get(caller)?.length ?? 0;
    let ahead = own;
    for (const [other, waiters] of this.byCaller) {
      if (other !== caller) ahead += Math.min(waiters.length, own + 1);
    }
    return ahead;
  }

  private findReplaceable(newcomer: string): T | undefined {
    let longest: readonly T[] = [];
    for (const waiters of this.byCaller.values()) {
      if (waiters.length > longest.length) longest = waiters;
    }
    const own = this.byCaller.get(newcomer)?.length ?? 0;
    return longest.length < own + 2 ? undefined : longest.at(-1);
  }

  private removeAt(caller: string, waiters: T[], index: number): void {
    waiters.splice(index, 1);
    this.count -= 1;
    if (waiters.length === 0) this.byCaller.delete(caller);
  }

  private putLast(caller: string, waiters: T[]): void {
    this.byCaller.delete(caller);
    this.byCaller.set(caller, waiters);
  }
}
