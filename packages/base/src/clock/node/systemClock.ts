/** The operating system's clock. */
import { Clock } from '../common/clock.js';
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import { toDisposable } from '../../lifecycle/common/disposable.js';
import { RecentMaximum } from '../common/recentMaximum.js';

/** How long a timer that fired late counts at least, in ms. */
const DELAY_WINDOW_MS = 1000;

/**
 * A clock on the operating system's wall clock, monotonic clock and timers.
 *
 * @example
 * const clock = new SystemClock();
 */
export class SystemClock extends Clock {
  private readonly delays = new RecentMaximum(DELAY_WINDOW_MS);

  override getWallTime(): number {
    return Date.now();
  }

  override getMonotonicTime(): number {
    return performance.now();
  }

  override getRecentDelayMs(): number {
    return this.delays.get(performance.now());
  }

  override startTimer(delayMs: number, callback: () => void): IDisposable {
    const dueMs = performance.now() + delayMs;
    const handle = setTimeout(() => {
      const nowMs = performance.now();
      this.delays.record(nowMs - dueMs, nowMs);
      callback();
    }, delayMs);
    return toDisposable(() => {
      clearTimeout(handle);
    });
  }
}
