/** Decides which nodes of a failure domain read the store, and when others take over. */
import type { Clock } from '@parsleymux/base';

/** The second follower takes over when its copy is this old, in ms: an update is 0.3 s late by then. */
const TAKE_OVER_MS = 1150;
/** Each further node waits this much longer, in ms, so that one alone takes over. */
const TAKE_OVER_STEP_MS = 150;
/** No node's copy gets older than this without a read of its own, in ms. */
const MAX_AGE_MS = 1600;

/** Options of a {@link FollowerRole}. */
export interface IFollowerRoleOptions {
  readonly clock: Clock;
  readonly self: string;
  /** Nodes of the failure domain, the first follower first. */
  readonly rankFollowers: () => readonly string[];
}

/**
 * The first in order follows. Whoever finds its copy too old takes over, and steps back when it
 * hears from one before it. Two that follow at once cost some calls; none at all would leave the
 * domain on old news, so silence decides and nothing is agreed on.
 *
 * @example
 * if (role.hasToRead(table.getAgeMs())) await read();
 */
export class FollowerRole {
  private hasTakenOver = false;

  constructor(private readonly options: IFollowerRoleOptions) {}

  /** Whether this node reads the store for its failure domain now. */
  isFollower(): boolean {
    return this.hasTakenOver || this.getRank() === 0;
  }

  /** Whether this node is the first in order. */
  isFirst(): boolean {
    return this.getRank() === 0;
  }

  /** Whether a copy of this age has to be read by this node. */
  hasToRead(ageMs: number): boolean {
    if (this.isFollower()) return true;
    if (ageMs <= this.getMaxAgeMs()) return false;
    this.hasTakenOver = true;
    return true;
  }

  /** Age up to which a copy of this node needs no read of its own, in ms. */
  getMaxAgeMs(): number {
    if (this.isFollower()) return 0;
    const waitMs = TAKE_OVER_MS + TAKE_OVER_STEP_MS * Math.max(0, this.getRank() - 1);
    return Math.min(MAX_AGE_MS, waitMs);
  }

  /** A peer sent an update. */
  recordUpdate(sender: string): void {
    const ranking = this.options.rankFollowers();
    const rank = ranking.indexOf(sender);
    if (rank !== -1 && rank < this.getRank()) this.hasTakenOver = false;
  }

  private getRank(): number {
    const rank = this.options.rankFollowers().indexOf(this.options.self);
    return rank === -1 ? Infinity : rank;
  }
}
