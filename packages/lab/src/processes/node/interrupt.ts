/** Ctrl-C for the lab's programs. */
import type { IDisposable } from '@parsleymux/base';

/** Exit code of a program ended by SIGINT, by the shell's convention. */
const INTERRUPTED = 130;

/**
 * Disposes of `owner` on the first SIGINT or SIGTERM, and exits; a second one exits at once.
 * Returns a function that tells whether that has begun: work that fails because its world is
 * being taken down must then leave the exit to us, or children would be killed half-way.
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
