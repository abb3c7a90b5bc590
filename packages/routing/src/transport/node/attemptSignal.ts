/** Aborts an attempt on timeout or when the caller cancels it, whichever comes first. */
import type { Clock, IDisposable } from '@parsleymux/base';
import { TransportFailure } from '../common/targetTransport.js';

/** Options of an {@link AttemptSignal}. */
export interface IAttemptSignalOptions {
  readonly clock: Clock;
  readonly callerSignal: AbortSignal;
  readonly timeoutMs: number;
}

/**
 * Combines both reasons in one signal.
 *
 * @example
 * const attempt = new AttemptSignal({ clock, callerSignal, timeoutMs: 500 });
 * attempt.signal.addEventListener('abort', () => console.log(attempt.failure));
 */
export class AttemptSignal implements IDisposable {
  private readonly controller = new AbortController();
  private readonly callerSignal: AbortSignal;
  private readonly clock: Clock;
  private readonly dueMs: number;
  private timer: IDisposable | undefined;
  private reason: TransportFailure = TransportFailure.Timeout;

  constructor(options: IAttemptSignalOptions) {
    this.clock = options.clock;
    this.callerSignal = options.callerSignal;
    this.dueMs = options.clock.getMonotonicTime() + options.timeoutMs;
    this.setTimeLimit(options.timeoutMs);
    if (this.callerSignal.aborted) this.cancel();
    else this.callerSignal.addEventListener('abort', this.cancel, { once: true });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Why the signal aborted. */
  get failure(): TransportFailure {
    return this.reason;
  }

  /** Remaining time, in ms; at least 1, the smallest time limit that a target can be sent. */
  get remainingMs(): number {
    return Math.max(1, Math.ceil(this.dueMs - this.clock.getMonotonicTime()));
  }

  /** Whether the deadline has passed, even if the timer has not fired yet. */
  isOverdue(): boolean {
    return this.clock.getMonotonicTime() >= this.dueMs;
  }

  /** Replaces the time limit by one that starts now; undefined removes it. */
  setTimeLimit(limitMs: number | undefined): void {
    void this.timer?.dispose();
    this.timer =
      limitMs === undefined
        ? undefined
        : this.clock.startTimer(limitMs, () => {
            this.controller.abort();
          });
  }

  dispose(): void {
    void this.timer?.dispose();
    this.callerSignal.removeEventListener('abort', this.cancel);
  }

  private readonly cancel = (): void => {
    this.reason = TransportFailure.Cancelled;
    this.controller.abort();
  };
}
