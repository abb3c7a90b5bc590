/** Waiting with a bound, on the injected clock. */
import type { Clock } from '@parsleymux/base';

/**
 * The value of `promise`, or undefined when it has not come after `waitMs`.
 *
 * @example
 * const outcome = await waitAtMost(clock, attempt.ended, 500);
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
