/** Calls to other processes with a timeout on the injected clock. */
import type { Clock } from '@parsleymux/base';
import { JoinedSignal } from '@parsleymux/base';

/**
 * Runs `call` with a signal that aborts after `timeoutMs` or with `signal`. Rejects as soon as the
 * signal aborts, even if `call` ignores it. Without the timeout, an unresponsive peer would block
 * the only loop that updates the configuration, and the node would keep an outdated revision
 * without any error.
 *
 * @example
 * const revision = await executeWithTimeout(clock, 1000, signal, (callSignal) => peer.announce(7, callSignal));
 */
export async function executeWithTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  signal: AbortSignal,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const timeout = new AbortController();
  const joined = new JoinedSignal([signal, timeout.signal]);
  const callSignal = joined.signal;
  let onAbort: (() => void) | undefined;
  const aborted = new Promise<never>((_, reject) => {
    onAbort = () => {
      reject(callSignal.reason as Error);
    };
    callSignal.addEventListener('abort', onAbort, { once: true });
  });
  const timer = clock.startTimer(timeoutMs, () => {
    timeout.abort(new Error(`no response within ${timeoutMs} ms`));
  });
  try {
    return await Promise.race([call(callSignal), aborted]);
  } finally {
    void timer.dispose();
    joined.dispose();
    if (onAbort !== undefined) callSignal.removeEventListener('abort', onAbort);
  }
}
