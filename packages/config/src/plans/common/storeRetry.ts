/** Retries store operations that lost a write conflict or whose response was lost. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import { createStoreError } from './planErrors.js';

const MAX_ATTEMPTS = 40;
const MAX_FAILURES = 8;
const INITIAL_DELAY_MS = 10;
const MAX_DELAY_MS = 500;

/** Options of a {@link StoreRetry}. */
export interface IStoreRetryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Records the progress of one attempt. */
export interface IStoreAttempt {
  /** Must be called before a write is sent: a later failure does not rule out that it took effect. */
  markSent(): void;
}

/**
 * Runs attempts until one returns a value, up to a limit and with jittered delays.
 *
 * @example
 * const plan = await retry.run(signal, (attempt) => tryConfirm(attempt));
 */
export class StoreRetry {
  constructor(private readonly options: IStoreRetryOptions) {}

  /**
   * Repeats `work` while it returns undefined or fails with a PlatformError.
   * Throws StoreUnavailable, which says whether a write may have taken effect.
   */
  async run<T>(
    signal: AbortSignal | undefined,
    work: (attempt: IStoreAttempt) => Promise<T | undefined>,
  ): Promise<T> {
    let mayHaveRun = false;
    let failures = 0;
    let cause: unknown;
    for (let count = 0; count < MAX_ATTEMPTS && failures < MAX_FAILURES; count += 1) {
      const sent = { isSent: false };
      try {
        const value = await work({ markSent: () => (sent.isSent = true) });
        if (value !== undefined) return value;
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        failures += 1;
        cause = error;
        if (sent.isSent && error.failure === PlatformFailure.Unknown) mayHaveRun = true;
      }
      await this.sleep(count, signal);
    }
    throw createStoreError(mayHaveRun, cause);
  }

  /** Uses full jitter, so that writers that collided on the head row don't collide again. */
  private async sleep(count: number, signal: AbortSignal | undefined): Promise<void> {
    const delayMs = Math.min(INITIAL_DELAY_MS * 2 ** count, MAX_DELAY_MS);
    await this.options.clock.sleep(this.options.random.getFloat() * delayMs, signal);
  }
}
