/** A time limit on the progress of an operation instead of its duration. */
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import type { Clock } from './clock.js';

/** A timer that fires this much later than its time, in ms, shows that the process was not run. */
const MIN_LATE_MS = 20;

/**
 * Aborts its signal with a `TimeoutError` unless progress is recorded in time, until it is disposed of.
 *
 * @example
 * const stall = new StallTimeout(clock, 700);
 * await download(stall.signal, () => stall.reset(700)).finally(() => stall.dispose());
 */
export class StallTimeout implements IDisposable {
  private readonly controller = new AbortController();
  private timer: IDisposable;

  /** `limitMs` is the time until the first progress. */
  constructor(
    private readonly clock: Clock,
    limitMs: number,
  ) {
    this.timer = this.startTimer(limitMs);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records progress; the next one has to follow within `limitMs`. */
  reset(limitMs: number): void {
    void this.timer.dispose();
    this.timer = this.startTimer(limitMs);
  }

  dispose(): void {
    void this.timer.dispose();
  }

  private startTimer(limitMs: number): IDisposable {
    const dueMs = this.clock.getMonotonicTime() + limitMs;
    return this.clock.startTimer(limitMs, () => {
      const lateMs = Math.round(this.clock.getMonotonicTime() - dueMs);
      const late = lateMs < MIN_LATE_MS ? '' : `, noticed ${lateMs} ms late`;
      const text = `no progress for ${Math.round(limitMs)} ms${late}`;
      this.controller.abort(new DOMException(text, 'TimeoutError'));
    });
  }
}
