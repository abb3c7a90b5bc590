/** Injectable source of time, so that replays and tests can control the clock. */
import type { IDisposable } from '../../lifecycle/common/disposable.js';

/** Reads time and schedules work. All durations and instants are in milliseconds. */
export abstract class Clock {
  /** Milliseconds since the Unix epoch. May step backwards; use it only for records and display. */
  abstract getWallTime(): number;

  /** Milliseconds from an arbitrary start that never goes backwards. Use it for durations. */
  abstract getMonotonicTime(): number;

  /**
   * How late timers have fired lately, in ms: how long this process was busy or was not run. 0 if the clock doesn't
   * measure it.
   */
  getRecentDelayMs(): number {
    return 0;
  }

  /** Calls `callback` once after `delayMs`, unless the returned handle is disposed of first. */
  abstract startTimer(delayMs: number, callback: () => void): IDisposable;

  /**
   * Resolves after `delayMs`. Rejects with the signal's reason as soon as `signal` aborts.
   *
   * @example
   * await clock.sleep(100, signal);
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(toError(signal.reason));
        return;
      }
      const onAbort = () => {
        void timer.dispose();
        reject(toError(signal?.reason));
      };
      const timer = this.startTimer(delayMs, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new Error(String(reason));
}
