/** Rates that callers may not exceed, counted in memory on each node. */
import type { Clock } from '@parsleymux/base';
import { MS_PER_SECOND } from '@parsleymux/base';

/** Options of a {@link RateLimiter}. */
export interface IRateLimiterOptions {
  readonly clock: Clock;
  /** What one name may use over time. */
  readonly perSecond: number;
  /** What one name may use at once after a pause. */
  readonly burst: number;
  /** Names remembered; beyond it the one unused for longest is forgotten. Default 1000. */
  readonly maxNames?: number;
}

interface IBucket {
  /** May be a fraction. */
  readonly tokens: number;
  /** Monotonic instant at which the tokens were counted. */
  readonly updatedAtMs: number;
}

const DEFAULT_MAX_NAMES = 1000;

/**
 * A token bucket for each name.
 *
 * @example
 * if (!limiter.spend('dobrescu')) throw limitError;
 */
export class RateLimiter {
  private readonly buckets = new Map<string, IBucket>();

  constructor(private readonly options: IRateLimiterOptions) {}

  /** Takes one token of `name`; false when there is none. */
  spend(name: string): boolean {
    const tokens = this.updateTokens(name);
    if (tokens < 1) return false;
    this.storeTokens(name, tokens - 1);
    return true;
  }

  /** Milliseconds until `name` has a token. */
  getWaitMs(name: string): number {
    const missing = 1 - this.updateTokens(name);
    return Math.max(0, Math.ceil((missing / this.options.perSecond) * MS_PER_SECOND));
  }

  /** The tokens that `name` has now. Asking also counts as use: the name is remembered longest. */
  private updateTokens(name: string): number {
    const { perSecond, burst } = this.options;
    const nowMs = this.options.clock.getMonotonicTime();
    const bucket = this.buckets.get(name) ?? { tokens: burst, updatedAtMs: nowMs };
    const gained = ((nowMs - bucket.updatedAtMs) / MS_PER_SECOND) * perSecond;
    const tokens = Math.min(burst, bucket.tokens + gained);
    this.storeTokens(name, tokens);
    return tokens;
  }

  /** Removed first, so that the bucket goes to the end of the order in which they are forgotten. */
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
