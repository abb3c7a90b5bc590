/** Tracks which homes respond to the grant requests of this node. */
import type { Clock } from '@parsleymux/base';

/** Initial backoff of a home that did not respond, in ms. */
const INITIAL_BACKOFF_MS = 1000;
/** The backoff doubles with each further missing response, up to this, in ms. */
const MAX_BACKOFF_MS = 8000;

interface IBackoff {
  readonly pauseMs: number;
  readonly untilMs: number;
}

/**
 * Skips unresponsive homes for an exponential backoff.
 *
 * @example
 * if (health.isUnresponsive(home)) tryNext();
 */
export class HomeHealth {
  private readonly backoffs = new Map<string, IBackoff>();

  constructor(private readonly clock: Clock) {}

  isUnresponsive(home: string): boolean {
    const backoff = this.backoffs.get(home);
    return backoff !== undefined && this.clock.getMonotonicTime() < backoff.untilMs;
  }

  recordResponse(home: string): void {
    this.backoffs.delete(home);
  }

  recordNoResponse(home: string): void {
    const previousMs = this.backoffs.get(home)?.pauseMs ?? 0;
    const pauseMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, previousMs * 2));
    const untilMs = this.clock.getMonotonicTime() + pauseMs;
    this.backoffs.set(home, { pauseMs, untilMs });
  }
}
