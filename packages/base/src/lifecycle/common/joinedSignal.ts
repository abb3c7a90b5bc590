/** A signal that aborts with any of several, and that can be let go. */
import { setMaxListeners } from 'node:events';
import type { IDisposable } from './disposable.js';

/** Node's word for no bound. */
const UNBOUNDED = 0;

/**
 * Aborts when one of its sources does, until it is disposed of. `AbortSignal.any` leaves an entry
 * in each source for as long as that lives (Node 20), seen as memory that grows with every round
 * of a loop that runs under one signal; this takes its listeners back.
 *
 * @example
 * const joined = new JoinedSignal([signal, wakeUp.signal]);
 * await clock.sleep(1000, joined.signal).finally(() => joined.dispose());
 */
export class JoinedSignal implements IDisposable {
  private readonly abort = new AbortController();

  constructor(private readonly sources: readonly AbortSignal[]) {
    // Node warns of many listeners because they may have been forgotten; these are taken back.
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
