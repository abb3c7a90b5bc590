/** A clock for concurrency tests: a sleep takes one turn of the event loop and no real time. */
import type { IDisposable } from '@parsleymux/base';
import { Clock, toDisposable } from '@parsleymux/base';

/** Advances the time by a timer's delay when the timer fires. */
export class InstantClock extends Clock {
  private nowMs = 1_700_000_000_000;

  override getWallTime(): number {
    return this.nowMs;
  }

  override getMonotonicTime(): number {
    return this.nowMs;
  }

  /** Advances the time without firing timers. */
  advance(durationMs: number): void {
    this.nowMs += durationMs;
  }

  override startTimer(delayMs: number, callback: () => void): IDisposable {
    const handle = setImmediate(() => {
      this.nowMs += delayMs;
      callback();
    });
    return toDisposable(() => {
      clearImmediate(handle);
    });
  }
}
