/** The operating system's clock. */
import { Clock } from '../common/clock.js';
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import { toDisposable } from '../../lifecycle/common/disposable.js';

/**
 * A clock on the operating system's wall clock, monotonic clock and timers.
 *
 * @example
 * const clock = new SystemClock();
 */
export class SystemClock extends Clock {
  override getWallTime(): number {
    return Date.now();
  }

  override getMonotonicTime(): number {
    return performance.now();
  }

  override startTimer(delayMs: number, callback: () => void): IDisposable {
    const handle = setTimeout(callback, delayMs);
    return toDisposable(() => {
      clearTimeout(handle);
    });
  }
}
