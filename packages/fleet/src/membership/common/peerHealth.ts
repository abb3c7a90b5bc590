/** Health of one peer, estimated from the results of this node's own calls to it. */

/** Thresholds and durations of suspicion. All times in ms. */
export interface ISuspicionOptions {
  /**
   * Consecutive failures, with no completed exchange between them, that make a peer suspected.
   * Default 2.
   */
  readonly failuresToSuspect?: number;
  /** Duration of the first suspicion; each further one lasts twice as long. Default 1000. */
  readonly firstMs?: number;
  /** Maximum duration of a suspicion. Default 30,000. */
  readonly maxMs?: number;
  /** Time for which a peer's shutdown notice stays in effect. Default 10,000. */
  readonly shutdownHoldMs?: number;
}

const DEFAULTS: Required<ISuspicionOptions> = {
  failuresToSuspect: 2,
  firstMs: 1000,
  maxMs: 30_000,
  shutdownHoldMs: 10_000,
};

/** Bounds the exponent; the duration reaches its own bound well before. */
const MAX_LEVEL = 20;

/**
 * Tracks the suspicion of one peer. Instants are on the monotonic clock.
 *
 * A flapping peer would otherwise be used again after every short suspicion and fail requests each
 * time, which shows as a steady trickle of retries. Consecutive suspicions therefore double in
 * duration, and the level returns to zero only after the peer stayed in contact for as long as its
 * last suspicion lasted.
 *
 * @example
 * const health = new PeerHealth({ failuresToSuspect: 2 });
 * health.recordFailure(0); // false
 * health.recordFailure(10); // true
 * health.isUsable(500); // false
 */
export class PeerHealth {
  private readonly options: Required<ISuspicionOptions>;
  private failures = 0;
  private level = 0;
  private lastDurationMs = 0;
  private suspectUntilMs = 0;
  private shutdownUntilMs = 0;
  private inContactSinceMs: number | undefined;

  constructor(options: ISuspicionOptions = {}) {
    this.options = { ...DEFAULTS, ...options };
  }

  /** Records a completed exchange with the peer. It does not shorten a running suspicion. */
  recordContact(nowMs: number): void {
    this.failures = 0;
    if (nowMs < this.suspectUntilMs) return;
    this.inContactSinceMs ??= nowMs;
    if (nowMs - this.inContactSinceMs >= this.lastDurationMs) this.level = 0;
  }

  /**
   * Records a failed exchange with the peer. Returns true when the peer becomes suspected by it.
   */
  recordFailure(nowMs: number): boolean {
    // Requests that were in progress when the suspicion began fail late; they are no new evidence.
    if (nowMs < this.suspectUntilMs) return false;
    this.failures += 1;
    const isOnProbation = this.level > 0;
    if (!isOnProbation && this.failures < this.options.failuresToSuspect) return false;
    this.startSuspicion(nowMs);
    return true;
  }

  /** Records the peer's shutdown notice, which expires because its address may be used again. */
  recordShutdown(nowMs: number): void {
    this.shutdownUntilMs = nowMs + this.options.shutdownHoldMs;
  }

  /** Whether the peer may receive work. */
  isUsable(nowMs: number): boolean {
    return nowMs >= this.suspectUntilMs && nowMs >= this.shutdownUntilMs;
  }

  /**
   * Returns the instant from which the peer may receive work again, unless new evidence arrives.
   */
  getUsableFrom(): number {
    return Math.max(this.suspectUntilMs, this.shutdownUntilMs);
  }

  private startSuspicion(nowMs: number): void {
    const { firstMs, maxMs } = this.options;
    this.lastDurationMs = Math.min(maxMs, firstMs * 2 ** this.level);
    this.level = Math.min(this.level + 1, MAX_LEVEL);
    this.suspectUntilMs = nowMs + this.lastDurationMs;
    this.failures = 0;
    this.inContactSinceMs = undefined;
  }
}
