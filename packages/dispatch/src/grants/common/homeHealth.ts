/** Which homes answer this node, learnt from its own questions. */
import type { Clock } from '@parsleymux/base';

/** A home that left a question unanswered is passed over this long at first, in ms. */
const INITIAL_BACKOFF_MS = 1000;
/** Each further silence doubles the pause, up to this, in ms. */
const MAX_BACKOFF_MS = 8000;

interface IBackoff {
  readonly pauseMs: number;
  readonly untilMs: number;
}

/**
 * Passes over homes that are silent, and tries them again after a while.
 *
 * @example
 * if (health.isSilent(home)) askNext();
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
