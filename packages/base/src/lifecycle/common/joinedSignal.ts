/** A disposable signal that aborts when any of several sources aborts. */
import { setMaxListeners } from 'node:events';
import type { IDisposable } from './disposable.js';

/** Disables the listener limit in `setMaxListeners`. */
const UNBOUNDED = 0;

/**
 * Aborts when one of its sources aborts, until it is disposed of. `AbortSignal.any` leaves an entry
 * in each source for the source's lifetime (Node 20), so a loop under one long-lived signal leaks
 * memory with every iteration. This class removes its listeners on disposal.
 *
 * @example
 * const joined = new JoinedSignal([signal, wakeUp.signal]);
 * await clock.sleep(1000, joined.signal).finally(() => joined.dispose());
 */
export class JoinedSignal implements IDisposable {
  private readonly abort = new AbortController();

  constructor(private readonly sources: readonly AbortSignal[]) {
    // Node warns about many listeners as a possible leak; these are removed on disposal.
    setMaxListeners(UNBOUNDED, ...sources);
    for (const source of sources) source.addEventListener('abort', this.onAbort);
    this.onAbort();
  }

  get signal(): AbortSignal {
    return this.abort.signal;
  }

  dispose(): void {
    for (const source of this.sources) source.removeEventListener('abort', this.onAbort);
  }

  private readonly onAbort = (): void => {
    const aborted = this.sources.find((source) => source.aborted);
    if (aborted === undefined) return;
    this.abort.abort(aborted.reason);
    this.dispose();
  };
}
