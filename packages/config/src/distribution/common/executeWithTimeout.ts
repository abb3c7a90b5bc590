/** Calls to other processes that end in bounded time on the injected clock. */
import type { Clock } from '@parsleymux/base';
import { JoinedSignal } from '@parsleymux/base';

/**
 * Runs `call` with a signal that aborts after `limitMs` or with `signal`. A peer that fell
 * silent would otherwise hold up the one loop that keeps the configuration current, and the
 * node would notice nothing but an ever older revision.
 *
 * @example
 * const revision = await executeBounded(clock, 1000, signal, (bounded) => peer.announce(7, bounded));
 */
export async function executeWithTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  signal: AbortSignal,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const limit = new AbortController();
  const joined = new JoinedSignal([signal, limit.signal]);
  const bounded = joined.signal;
  let onAbort: (() => void) | undefined;
  const aborted = new Promise<never>((_, reject) => {
    onAbort = () => {
      reject(bounded.reason as Error);
    };
    bounded.addEventListener('abort', onAbort, { once: true });
  });
  const timer = clock.startTimer(timeoutMs, () => {
    limit.abort(new Error(`no answer within ${timeoutMs} ms`));
  });
  try {
    return await Promise.race([call(bounded), aborted]);
  } finally {
    void timer.dispose();
    joined.dispose();
    if (onAbort !== undefined) bounded.removeEventListener('abort', onAbort);
  }
}
