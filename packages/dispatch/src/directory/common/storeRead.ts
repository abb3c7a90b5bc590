/** One read of a table of the authority, from its begin to its end. */
import type { Clock, IDisposable } from '@parsleymux/base';
import { JoinedSignal } from '@parsleymux/base';

/** Options of a {@link StoreRead}. */
export interface IStoreReadOptions {
  readonly clock: Clock;
  /** Ends the read when it aborts. */
  readonly signal: AbortSignal;
  /** How long the store may hold the read until the table changes (long poll), in ms; 0 if it isn't held. */
  readonly waitMs: number;
  /** Returns how long the store may take besides, and between two parts of a response, in ms. */
  readonly getLimitMs: () => number;
}

/**
 * Tells when its response is overdue, and waits on: a slow store responds later, and to repeat the read instead
 * would make the store slower.
 *
 * @example
 * const read = new StoreRead({ clock, signal, waitMs: 1500, getLimitMs });
 * await Promise.race([source.readChanges(after, read.waitMs, read.signal), read.overdue]);
 */
export class StoreRead implements IDisposable {
  readonly startMs: number;
  /** Resolves when no response, or no further part of it, has arrived in time. */
  readonly overdue: Promise<void>;
  private readonly cancelled = new AbortController();
  private readonly joined: JoinedSignal;
  private timer: IDisposable;
  private responseMs: number | undefined;
  private resolveOverdue: () => void = () => undefined;

  constructor(private readonly options: IStoreReadOptions) {
    const { clock, signal, waitMs } = options;
    this.startMs = clock.getMonotonicTime();
    this.joined = new JoinedSignal([signal, this.cancelled.signal]);
    this.overdue = new Promise((resolve) => {
      this.resolveOverdue = resolve;
    });
    this.timer = this.startTimer(waitMs);
  }

  get signal(): AbortSignal {
    return this.joined.signal;
  }

  get waitMs(): number {
    return this.options.waitMs;
  }

  get isCancelled(): boolean {
    return this.cancelled.signal.aborted;
  }

  /** Whether the response has begun. */
  get hasResponse(): boolean {
    return this.responseMs !== undefined;
  }

  /** Time since the begin, in ms. */
  getAgeMs(): number {
    return this.options.clock.getMonotonicTime() - this.startMs;
  }

  /**
   * Records that a part of the response has arrived. Returns how long the store took for the first part, without the
   * time for which it held the read; undefined if that isn't known, since the store ends a long poll at a change.
   */
  recordProgress(): number | undefined {
    const { waitMs } = this.options;
    void this.timer.dispose();
    this.timer = this.startTimer(0);
    if (this.responseMs !== undefined) return undefined;
    this.responseMs = this.getAgeMs();
    return this.responseMs < waitMs ? undefined : this.responseMs - waitMs;
  }

  cancel(reason: string): void {
    this.cancelled.abort(new Error(reason));
  }

  dispose(): void {
    void this.timer.dispose();
    this.joined.dispose();
  }

  /** Responses of other reads may show meanwhile that the store has become slower. */
  private startTimer(waitMs: number): IDisposable {
    const { clock, getLimitMs } = this.options;
    const startMs = clock.getMonotonicTime();
    const startNext = (delayMs: number): IDisposable => {
      return clock.startTimer(delayMs, () => {
        const remainingMs = startMs + waitMs + getLimitMs() - clock.getMonotonicTime();
        if (remainingMs > 0) this.timer = startNext(remainingMs);
        else this.resolveOverdue();
      });
    };
    return startNext(waitMs + getLimitMs());
  }
}
