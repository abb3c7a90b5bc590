/** Handles SIGINT and SIGTERM in the lab's programs. */
import type { IDisposable } from '@parsleymux/base';

/** Exit code of a program ended by SIGINT, by the shell's convention. */
const INTERRUPTED = 130;

/**
 * Disposes of `owner` on the first SIGINT or SIGTERM and then exits; a second signal exits immediately.
 * Returns a function that reports whether this has begun. A caller whose work fails because `owner` is
 * being disposed of must not exit by itself, since that would kill children during their shutdown.
 *
 * @example
 * const isInterrupted = disposeOnInterrupt(world);
 */
export function disposeOnInterrupt(owner: IDisposable): () => boolean {
  let isStopping = false;
  const stop = () => {
    if (isStopping) process.exit(INTERRUPTED);
    isStopping = true;
    void Promise.resolve(owner.dispose()).finally(() => process.exit(INTERRUPTED));
  };
  process.on('SIGINT', stop);
  process.on('SIGTERM', stop);
  return () => isStopping;
}
