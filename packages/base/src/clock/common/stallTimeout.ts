/** A time limit on the progress of an operation instead of its duration. */
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import type { Clock } from './clock.js';

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
    return this.clock.startTimer(limitMs, () => {
      this.controller.abort(new DOMException(`no progress for ${limitMs} ms`, 'TimeoutError'));
    });
  }
}
