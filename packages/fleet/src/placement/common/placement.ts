/**
 * Selects the home of each shard. Every node computes it by itself; a temporary disagreement
 * between two nodes affects speed, never correctness.
 */
import type { INode } from '../../membership/common/membershipService.js';

/** The unit of placement: a service, or a part of one, that has one home. */
export interface IShard {
  /** Stable name, such as "member/service" or "member/service/2". */
  readonly id: string;
  /** Failure domains of the shard's targets, the one with the most slots first. */
  readonly failureDomains: readonly string[];
}

/** Ranks nodes for a shard, with the same result on every node with the same live set. */
export abstract class Placement {
  /** Replaces the set of live nodes. */
  abstract setNodes(nodes: readonly INode[]): void;

  /** Returns the first `count` candidates for the home of the shard, best first. */
  abstract rank(shard: IShard, count: number): readonly INode[];
}
