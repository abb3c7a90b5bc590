/** A clock for tests of races: sleeps last no real time, and take a turn of the event loop. */
import type { IDisposable } from '@parsleymux/base';
import { Clock, toDisposable } from '@parsleymux/base';

/** Time advances by each timer's delay as it fires. */
export class InstantClock extends Clock {
  private nowMs = 1_700_000_000_000;

  override getWallTime(): number {
    return this.nowMs;
  }

  override getMonotonicTime(): number {
    return this.nowMs;
  }

  /** Lets time pass without firing anything. */
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
