/** Waits for a promise with a timeout, on the injected clock. */
import type { Clock } from '@parsleymux/base';

/**
 * Resolves to the value of `promise`, or to undefined if it has not settled after `waitMs`.
 *
 * @example
 * const outcome = await waitWithTimeout(clock, attempt.ended, 500);
 */
export async function waitWithTimeout<T>(
  clock: Clock,
  promise: Promise<T>,
  waitMs: number,
): Promise<T | undefined> {
  const stop = new AbortController();
  const timeout = clock.sleep(Math.max(0, waitMs), stop.signal).catch(() => undefined);
  try {
    return await Promise.race([promise, timeout.then(() => undefined)]);
  } finally {
    stop.abort();
  }
}
