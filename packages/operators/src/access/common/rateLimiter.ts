/** Rate limits, counted in memory on each node. */
import type { Clock } from '@parsleymux/base';
import { MS_PER_SECOND } from '@parsleymux/base';

/** Options of a {@link RateLimiter}. */
export interface IRateLimiterOptions {
  readonly clock: Clock;
  /** Sustained rate of one name, in tokens per second. */
  readonly perSecond: number;
  /** Maximum number of tokens that one name accumulates. */
  readonly burst: number;
  /** Maximum number of buckets; beyond it the least recently used one is evicted. Default 1000. */
  readonly maxNames?: number;
}

interface IBucket {
  /** Can be fractional. */
  readonly tokens: number;
  /** Monotonic time at which the tokens were counted, in ms. */
  readonly updatedAtMs: number;
}

const DEFAULT_MAX_NAMES = 1000;

/**
 * Maintains one token bucket per name.
 *
 * @example
 * if (!limiter.spend('dobrescu')) throw limitError;
 */
export class RateLimiter {
  private readonly buckets = new Map<string, IBucket>();

  constructor(private readonly options: IRateLimiterOptions) {}

  /** Takes one token of `name`; returns false if there is none. */
  spend(name: string): boolean {
    const tokens = this.updateTokens(name);
    if (tokens < 1) return false;
    this.storeTokens(name, tokens - 1);
    return true;
  }

  /** Returns the time until `name` has a token, in ms; 0 if it has one. */
  getWaitMs(name: string): number {
    const missing = 1 - this.updateTokens(name);
    return Math.max(0, Math.ceil((missing / this.options.perSecond) * MS_PER_SECOND));
  }

  /** Refills the bucket of `name` and returns its tokens. Marks the bucket as most recently used. */
  private updateTokens(name: string): number {
    const { perSecond, burst } = this.options;
    const nowMs = this.options.clock.getMonotonicTime();
    const bucket = this.buckets.get(name) ?? { tokens: burst, updatedAtMs: nowMs };
    const gained = ((nowMs - bucket.updatedAtMs) / MS_PER_SECOND) * perSecond;
    const tokens = Math.min(burst, bucket.tokens + gained);
    this.storeTokens(name, tokens);
    return tokens;
  }

  /** Deletes the bucket before it is set, which moves it to the end of the eviction order. */
  private storeTokens(name: string, tokens: number): void {
    const updatedAtMs = this.options.clock.getMonotonicTime();
    this.buckets.delete(name);
    this.buckets.set(name, { tokens, updatedAtMs });
    this.removeOldest();
  }

  private removeOldest(): void {
    if (this.buckets.size <= (this.options.maxNames ?? DEFAULT_MAX_NAMES)) return;
    const oldest = this.buckets.keys().next();
    if (oldest.done !== true) this.buckets.delete(oldest.value);
  }
}
