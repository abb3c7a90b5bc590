/** Which homes answer this node, learnt from its own questions. */
import type { Clock } from '@parsleymux/base';

/** A home that left a question unanswered is passed over this long at first, in ms. */
const FIRST_PAUSE_MS = 1000;
/** Each further silence doubles the pause, up to this, in ms. */
const LONGEST_PAUSE_MS = 8000;

interface ISilence {
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
  private readonly silences = new Map<string, ISilence>();

  constructor(private readonly clock: Clock) {}

  isSilent(home: string): boolean {
    const silence = this.silences.get(home);
    return silence !== undefined && this.clock.getMonotonicTime() < silence.untilMs;
  }

  recordAnswer(home: string): void {
    this.silences.delete(home);
  }

  recordSilence(home: string): void {
    const previousMs = this.silences.get(home)?.pauseMs ?? 0;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, previousMs * 2));
    const untilMs = this.clock.getMonotonicTime() + pauseMs;
    this.silences.set(home, { pauseMs, untilMs });
  }
}
