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
  tokens: number;
  updatedAtMs: number;
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
    const bucket = this.takeBucket(name);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  /** Milliseconds until `name` has a token. */
  getWaitMs(name: string): number {
    const missing = 1 - this.takeBucket(name).tokens;
    return Math.max(0, Math.ceil((missing / this.options.perSecond) * MS_PER_SECOND));
  }

  /** The bucket as it is now, moved to the end of the order in which buckets are forgotten. */
  private takeBucket(name: string): IBucket {
    const { perSecond, burst } = this.options;
    const nowMs = this.options.clock.getMonotonicTime();
    const bucket = this.buckets.get(name) ?? { tokens: burst, updatedAtMs: nowMs };
    const gained = ((nowMs - bucket.updatedAtMs) / MS_PER_SECOND) * perSecond;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.updatedAtMs = nowMs;
    this.buckets.delete(name);
    this.buckets.set(name, bucket);
    this.removeOldest();
    return bucket;
  }

  private removeOldest(): void {
    if (this.buckets.size <= (this.options.maxNames ?? DEFAULT_MAX_NAMES)) return;
    const oldest = this.buckets.keys().next();
    if (oldest.done !== true) this.buckets.delete(oldest.value);
  }
}
