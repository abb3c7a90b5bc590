/**
 * Rendezvous hashing with bounded loads: shards are placed one after another, each on the best
 * candidate whose load stays within a multiple of the mean. Used only for comparison.
 */
import { hashToInteger } from '@parsleymux/base';
import type { INode, IShard } from '@parsleymux/fleet';
import { Placement, RendezvousPlacement } from '@parsleymux/fleet';
import type { ISizedShard } from './placementCase.js';

const CANDIDATE_COUNT = 12;

/**
 * Requires all shards in advance, and bounds the load of only the first candidate of each.
 *
 * @example
 * const placement = new BoundedPlacement(shards, 1.25);
 */
export class BoundedPlacement extends Placement {
  private readonly inner = new RendezvousPlacement();
  private readonly shards: readonly ISizedShard[];
  private homes = new Map<string, INode>();
  private nodes: readonly INode[] = [];

  constructor(
    shards: readonly ISizedShard[],
    private readonly factor: number,
  ) {
    super();
    this.shards = [...shards].sort((left, right) => {
      return hashToInteger(left.id, 1) - hashToInteger(right.id, 1);
    });
  }

  override setNodes(nodes: readonly INode[]): void {
    this.inner.setNodes(nodes);
    this.nodes = nodes;
    this.homes = new Map();
  }

  override rank(shard: IShard, count: number): readonly INode[] {
    if (this.homes.size === 0) this.setHomes();
    const home = this.homes.get(shard.id);
    const others = this.inner.rank(shard, count + 1).filter((node) => node !== home);
    return home === undefined ? others.slice(0, count) : [home, ...others].slice(0, count);
  }

  private setHomes(): void {
    const bounds = this.computeBounds();
    const loads = new Map<INode, number>();
    for (const shard of this.shards) {
      const bound = bounds.get(shard.failureDomains[0] ?? '') ?? Infinity;
      const candidates = this.inner.rank(shard, CANDIDATE_COUNT);
      const home = candidates.find((node) => {
        const load = loads.get(node) ?? 0;
        return load === 0 || load + shard.slots <= bound;
      });
      const chosen = home ?? candidates[0];
      if (chosen === undefined) return;
      loads.set(chosen, (loads.get(chosen) ?? 0) + shard.slots);
      this.homes.set(shard.id, chosen);
    }
  }

  private computeBounds(): Map<string, number> {
    const slots = new Map<string, number>();
    for (const shard of this.shards) {
      const domain = shard.failureDomains[0] ?? '';
      slots.set(domain, (slots.get(domain) ?? 0) + shard.slots);
    }
    const bounds = new Map<string, number>();
    for (const [domain, total] of slots) {
      const size = this.nodes.filter((node) => node.failureDomain === domain).length;
      bounds.set(domain, (this.factor * total) / Math.max(1, size));
    }
    return bounds;
  }
}
