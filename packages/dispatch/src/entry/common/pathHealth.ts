/** Tracks targets that this node can't connect to. */
import type { Clock } from '@parsleymux/base';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { isSameIncarnation } from '@parsleymux/scheduling';

/** How long a target is excluded after a failed connection, in ms; doubles with each failure. */
const INITIAL_PAUSE_MS = 1500;
const MAX_PAUSE_MS = 6000;

interface IUnreachablePath {
  readonly target: ITargetRecord;
  readonly pauseMs: number;
  readonly untilMs: number;
}

/**
 * A network partition between one node and a target is not visible to the home, so the node itself lists
 * such targets as excluded in its grant requests. The exclusion ends when the target restarts, since the new
 * incarnation may run on another host.
 *
 * @example
 * const excluded = paths.listUnreachable();
 */
export class PathHealth {
  private readonly unreachable = new Map<string, IUnreachablePath>();

  constructor(
    private readonly clock: Clock,
    /** Returns the current record of a target. */
    private readonly findTarget: (id: string) => ITargetRecord | undefined,
  ) {}

  recordUnreachable(target: ITargetRecord): void {
    const previousMs = this.unreachable.get(target.id)?.pauseMs ?? 0;
    const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(INITIAL_PAUSE_MS, previousMs * 2));
    const untilMs = this.clock.getMonotonicTime() + pauseMs;
    this.unreachable.set(target.id, { target, pauseMs, untilMs });
  }

  recordReachable(targetId: string): void {
    this.unreachable.delete(targetId);
  }

  /** Forgets all failures, when they are due to this node's own path. */
  clear(): void {
    this.unreachable.clear();
  }

  /** Whether the last connection to the target failed recently. */
  isUnreachable(targetId: string): boolean {
    const path = this.unreachable.get(targetId);
    return path !== undefined && this.clock.getMonotonicTime() < path.untilMs;
  }

  listUnreachable(): readonly string[] {
    const nowMs = this.clock.getMonotonicTime();
    const oldestMs = nowMs - MAX_PAUSE_MS;
    for (const [id, { target, untilMs }] of this.unreachable) {
      const current = this.findTarget(id);
      const hasRestarted = current !== undefined && !isSameIncarnation(target, current);
      if (untilMs < oldestMs || hasRestarted) this.unreachable.delete(id);
    }
    return [...this.unreachable].filter(([, { untilMs }]) => nowMs < untilMs).map(([id]) => id);
  }
}
