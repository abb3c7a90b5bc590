/** Targets that this node alone can't reach at present. */
import type { Clock } from '@parsleymux/base';

/** A target is left out this long after a failed connection, in ms, doubling up to the longest. */
const FIRST_PAUSE_MS = 1500;
const LONGEST_PAUSE_MS = 6000;

interface IBrokenPath {
  readonly pauseMs: number;
  readonly untilMs: number;
}

/**
 * A cut between one node and a target shows nowhere else, so the home can't know of it; the node
 * itself names such targets as excluded when it asks.
 *
 * @example
 * const excluded = paths.listBroken();
 */
export class PathHealth {
  private readonly broken = new Map<string, IBrokenPath>();

  constructor(private readonly clock: Clock) {}

  recordBroken(targetId: string): void {
    const previousMs = this.broken.get(targetId)?.pauseMs ?? 0;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, previousMs * 2));
    const untilMs = this.clock.getMonotonicTime() + pauseMs;
    this.broken.set(targetId, { pauseMs, untilMs });
  }

  recordWorking(targetId: string): void {
    this.broken.delete(targetId);
  }

  listBroken(): readonly string[] {
    const nowMs = this.clock.getMonotonicTime();
    const oldestMs = nowMs - LONGEST_PAUSE_MS;
    for (const [id, { untilMs }] of this.broken) if (untilMs < oldestMs) this.broken.delete(id);
    return [...this.broken].filter(([, { untilMs }]) => nowMs < untilMs).map(([id]) => id);
  }
}
