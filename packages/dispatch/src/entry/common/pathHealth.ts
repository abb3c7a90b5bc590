/** Targets that this node alone can't reach at present. */
import type { Clock } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import { isSameIncarnation } from '../../catalog/common/catalog.js';

/** A target is left out this long after a failed connection, in ms, doubling up to the longest. */
const FIRST_PAUSE_MS = 1500;
const LONGEST_PAUSE_MS = 6000;

interface IBrokenPath {
  readonly target: ITargetRecord;
  readonly pauseMs: number;
  readonly untilMs: number;
}

/**
 * A cut between one node and a target shows nowhere else, so the home can't know of it; the node
 * itself names such targets as excluded when it asks. A target that has started anew meanwhile may
 * stand elsewhere, so its former life's broken path no longer counts.
 *
 * @example
 * const excluded = paths.listBroken();
 */
export class PathHealth {
  private readonly broken = new Map<string, IBrokenPath>();

  constructor(
    private readonly clock: Clock,
    /** What is known of a target now. */
    private readonly findTarget: (id: string) => ITargetRecord | undefined,
  ) {}

  recordBroken(target: ITargetRecord): void {
    const previousMs = this.broken.get(target.id)?.pauseMs ?? 0;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, previousMs * 2));
    const untilMs = this.clock.getMonotonicTime() + pauseMs;
    this.broken.set(target.id, { target, pauseMs, untilMs });
  }

  recordWorking(targetId: string): void {
    this.broken.delete(targetId);
  }

  listBroken(): readonly string[] {
    const nowMs = this.clock.getMonotonicTime();
    const oldestMs = nowMs - LONGEST_PAUSE_MS;
    for (const [id, { target, untilMs }] of this.broken) {
      const current = this.findTarget(id);
      const hasRestarted = current !== undefined && !isSameIncarnation(target, current);
      if (untilMs < oldestMs || hasRestarted) this.broken.delete(id);
    }
    return [...this.broken].filter(([, { untilMs }]) => nowMs < untilMs).map(([id]) => id);
  }
}
