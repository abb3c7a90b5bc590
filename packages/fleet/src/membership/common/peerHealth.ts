/** What this node itself experienced with one peer, and what follows for giving it work. */

/** How experience is weighed. All times in ms. */
export interface ISuspicionOptions {
  /** Failures in a row, with no completed exchange between them, that make a peer suspect. Default 2. */
  readonly failuresToSuspect?: number;
  /** Length of the first suspicion; each further one is twice as long. Default 1000. */
  readonly firstMs?: number;
  /** Longest suspicion. Default 30,000. */
  readonly maxMs?: number;
  /** Time that a peer's word that it is leaving is believed. Default 10,000. */
  readonly shutdownHoldMs?: number;
}

const DEFAULTS: Required<ISuspicionOptions> = {
  failuresToSuspect: 2,
  firstMs: 1000,
  maxMs: 30_000,
  shutdownHoldMs: 10_000,
};

/** Growth stops here; by then the bound of the length has long been reached. */
const MAX_LEVEL = 20;

/**
 * Suspicion of one peer. Instants are on the monotonic clock.
 *
 * A peer that flaps would otherwise come back after every short suspicion and take requests down
 * with it each time, seen as a steady trickle of retries. Suspicions therefore double while they
 * follow one another, and the level falls to zero only after the peer stayed in contact for as
 * long as its last suspicion lasted.
 *
 * @example
 * const experience = new PeerExperience({ failuresToSuspect: 2 });
 * experience.recordFailure(0); // false
 * experience.recordFailure(10); // true
 * experience.isUsable(500); // false
 */
export class PeerHealth {
  private readonly options: Required<ISuspicionOptions>;
  private failures = 0;
  private level = 0;
  private lastLengthMs = 0;
  private suspectUntilMs = 0;
  private shutdownUntilMs = 0;
  private inContactSinceMs: number | undefined;

  constructor(options: ISuspicionOptions = {}) {
    this.options = { ...DEFAULTS, ...options };
  }

  /** An exchange with the peer completed. A suspicion that runs is not cut short by it. */
  recordContact(nowMs: number): void {
    this.failures = 0;
    if (nowMs < this.suspectUntilMs) return;
    this.inContactSinceMs ??= nowMs;
    if (nowMs - this.inContactSinceMs >= this.lastLengthMs) this.level = 0;
  }

  /** An exchange with the peer failed. Returns true when the peer becomes suspect by it. */
  recordFailure(nowMs: number): boolean {
    // Requests that were under way when the suspicion began fail late; they say nothing new.
    if (nowMs < this.suspectUntilMs) return false;
    this.failures += 1;
    const isOnProbation = this.level > 0;
    if (!isOnProbation && this.failures < this.options.failuresToSuspect) return false;
    this.startSuspicion(nowMs);
    return true;
  }

  /** The peer said that it is leaving. The word expires, because its address may be used again. */
  recordShutdown(nowMs: number): void {
    this.shutdownUntilMs = nowMs + this.options.shutdownHoldMs;
  }

  /** Whether the peer may be given work. */
  isUsable(nowMs: number): boolean {
    return nowMs >= this.suspectUntilMs && nowMs >= this.shutdownUntilMs;
  }

  /** Instant from which the peer may be given work again, unless something new is learnt. */
  getUsableFrom(): number {
    return Math.max(this.suspectUntilMs, this.shutdownUntilMs);
  }

  private startSuspicion(nowMs: number): void {
    const { firstMs, maxMs } = this.options;
    this.lastLengthMs = Math.min(maxMs, firstMs * 2 ** this.level);
    this.level = Math.min(this.level + 1, MAX_LEVEL);
    this.suspectUntilMs = nowMs + this.lastLengthMs;
    this.failures = 0;
    this.inContactSinceMs = undefined;
  }
}
