/** A target's slots, with a FIFO queue of waiting requests. */

interface IWaiter {
  readonly resume: (hasSlot: boolean) => void;
}

/** Result of waiting for a slot. */
export const SlotOutcome = { Acquired: 'acquired', Full: 'full', Aborted: 'gave-up' } as const;

export type SlotOutcome = (typeof SlotOutcome)[keyof typeof SlotOutcome];

/**
 * Grants up to `slots` concurrent slots and queues up to `queueLimit` waiters.
 *
 * @example
 * const queue = new SlotQueue(4, 0);
 * if ((await queue.waitForSlot(signal)) === SlotOutcome.Acquired) queue.release();
 */
export class SlotQueue {
  private readonly waiters: IWaiter[] = [];
  private running = 0;

  constructor(
    private readonly slots: number,
    private readonly queueLimit: number,
  ) {}

  getRunning(): number {
    return this.running;
  }

  /** Waits for a slot until `signal` aborts. Each acquired slot must be released once. */
  async waitForSlot(signal: AbortSignal): Promise<SlotOutcome> {
    if (signal.aborted) return SlotOutcome.Aborted;
    if (this.running < this.slots) {
      this.running += 1;
      return SlotOutcome.Acquired;
    }
    if (this.waiters.length >= this.queueLimit) return SlotOutcome.Full;
    const hasSlot = await this.waitForTurn(signal);
    return hasSlot ? SlotOutcome.Acquired : SlotOutcome.Aborted;
  }

  release(): void {
    const next = this.waiters.shift();
    if (next === undefined) this.running -= 1;
    else next.resume(true);
  }

  private waitForTurn(signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const onAbort = () => {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) this.waiters.splice(index, 1);
        resolve(false);
      };
      const waiter: IWaiter = {
        resume: (hasSlot) => {
          signal.removeEventListener('abort', onAbort);
          resolve(hasSlot);
        },
      };
      this.waiters.push(waiter);
      signal.addEventListener('abort', onAbort, { once: true });
    });
  }
}
