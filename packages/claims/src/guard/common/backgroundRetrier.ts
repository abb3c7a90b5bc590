/** Retries work that must complete even if the store is unavailable, after the caller has its response. */
import { setMaxListeners } from 'node:events';
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import { waitWithTimeout } from '../../attempt/common/waitWithTimeout.js';

const FIRST_DELAY_MS = 50;
const MAX_DELAY_MS = 5000;

/** Options of a {@link BackgroundRetrier}. */
export interface IBackgroundRetrierOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Repeats actions until they succeed, with jittered exponential backoff.
 *
 * @example
 * await retrier.start(() => store.writeOutcome(rowKey, version, claim), 500);
 */
export class BackgroundRetrier implements IDisposable {
  private readonly clock: Clock;
  private readonly random: RandomSource;
  private readonly stop = new AbortController();
  private readonly pending = new Set<Promise<void>>();

  constructor(options: IBackgroundRetrierOptions) {
    this.clock = options.clock;
    this.random = options.random;
    // Each pending action adds a listener. While the store is unavailable there can be many, and
    // Node would log a warning about a leak.
    setMaxListeners(0, this.stop.signal);
  }

  /** Starts `action` and resolves after its first try or after `waitMs`, whichever is sooner. */
  async start(action: () => Promise<void>, waitMs: number): Promise<void> {
    const firstTry = tryOnce(action);
    const done = this.runUntilDone(firstTry, action);
    this.pending.add(done);
    void done.finally(() => this.pending.delete(done));
    await waitWithTimeout(this.clock, firstTry, waitMs);
  }

  /** Number of actions that have not succeeded yet. */
  getPendingCount(): number {
    return this.pending.size;
  }

  /** Resolves when no action is pending. Shutdown waits for it, so that no outcome is lost. */
  async flush(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  dispose(): void {
    this.stop.abort(new Error('disposed'));
  }

  private async runUntilDone(
    firstTry: Promise<boolean>,
    action: () => Promise<void>,
  ): Promise<void> {
    let hasSucceeded = await firstTry;
    for (let delayMs = FIRST_DELAY_MS; !hasSucceeded; delayMs *= 2) {
      const jitteredMs = this.random.getJittered(Math.min(delayMs, MAX_DELAY_MS));
      const hasSlept = await tryOnce(() => this.clock.sleep(jitteredMs, this.stop.signal));
      if (!hasSlept) return;
      hasSucceeded = await tryOnce(action);
    }
  }
}

async function tryOnce(action: () => Promise<void>): Promise<boolean> {
  try {
    await action();
    return true;
  } catch {
    return false;
  }
}
