/** Decides which nodes of a failure domain read the store, and when others take over from them. */
import type { Clock } from '@parsleymux/base';

/** The second follower takes over when its copy is this old, in ms; an update is then 0.3 s late. */
const TAKE_OVER_MS = 1150;
/** Each further node waits this much longer, in ms, so that only one takes over. */
const TAKE_OVER_STEP_MS = 150;
/** Any node reads the store itself when its copy is older than this, in ms. */
const MAX_AGE_MS = 1600;

/** Options of a {@link FollowerRole}. */
export interface IFollowerRoleOptions {
  readonly clock: Clock;
  readonly self: string;
  /** Lists the nodes of the failure domain in the order in which they become followers. */
  readonly rankFollowers: () => readonly string[];
}

/**
 * The first node in the ranking reads the store. A node whose copy gets too old takes over, and stops when
 * it receives an update from a node ranked higher. Two followers at the same time only cost some calls,
 * while without any the failure domain would use outdated tables. So the nodes take over on a timeout,
 * without an election.
 *
 * @example
 * if (role.hasToRead(table.getAgeMs())) await read();
 */
export class FollowerRole {
  private hasTakenOver = false;

  constructor(private readonly options: IFollowerRoleOptions) {}

  /** Whether this node currently reads the store for its failure domain. */
  isFollower(): boolean {
    return this.hasTakenOver || this.getRank() === 0;
  }

  /** Whether this node is ranked first. */
  isFirst(): boolean {
    return this.getRank() === 0;
  }

  /** Whether this node has to read the store when its copy has this age; if so, it takes over as follower. */
  hasToRead(ageMs: number): boolean {
    if (this.isFollower()) return true;
    if (ageMs <= this.getMaxAgeMs()) return false;
    this.hasTakenOver = true;
    return true;
  }

  /** Maximum age of this node's copy, in ms, up to which the node doesn't read the store itself. */
  getMaxAgeMs(): number {
    if (this.isFollower()) return 0;
    const waitMs = TAKE_OVER_MS + TAKE_OVER_STEP_MS * Math.max(0, this.getRank() - 1);
    return Math.min(MAX_AGE_MS, waitMs);
  }

  /**
   * Records that a peer sent an update; `isCurrent` if its copies are at least as recent as those of this node.
   * A peer that doesn't reach the store may send on what it received from another failure domain, which is
   * no reason to stop reading.
   */
  recordUpdate(sender: string, isCurrent: boolean): void {
    if (!isCurrent) return;
    const ranking = this.options.rankFollowers();
    const rank = ranking.indexOf(sender);
    if (rank !== -1 && rank < this.getRank()) this.hasTakenOver = false;
  }

  private getRank(): number {
    const rank = this.options.rankFollowers().indexOf(this.options.self);
    return rank === -1 ? Infinity : rank;
  }
}
