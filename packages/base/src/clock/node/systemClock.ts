/** The machine's own clock. */
import { Clock } from '../common/clock.js';
import type { IDisposable } from '../../lifecycle/common/disposable.js';
import { toDisposable } from '../../lifecycle/common/disposable.js';

/**
 * Reads the operating system's clocks.
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
