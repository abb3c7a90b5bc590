/**
 * Which nodes are home to a shard. Every node computes it alone; two nodes that disagree for a
 * while cost speed, never correctness.
 */
import type { INode } from '../../membership/common/membershipService.js';

/** What a placement decides on. */
export interface IShard {
  /** Stable name, such as "member/service" or "member/service/2". */
  readonly id: string;
  /** Failure domains of the shard's targets, the one with the most slots first. */
  readonly failureDomains: readonly string[];
}

/** An order of preference among nodes, the same on every node with the same live set. */
export abstract class Placement {
  /** Replaces the set of live nodes. */
  abstract setNodes(nodes: readonly INode[]): void;

  /** The first `count` candidates for home of the shard, best first. */
  abstract rank(shard: IShard, count: number): readonly INode[];
}
