/** The few peers that a node exchanges rumours with, the same ones for as long as they live. */
import { hashToInteger } from '@parsleymux/base';
import type { INode } from '../../membership/common/membershipService.js';

const DEFAULT_SIZE = 8;

interface IScoredPeer {
  readonly address: string;
  readonly score: number;
}

/**
 * With peers drawn from the whole of a large fleet nearly every call would open a connection, and the
 * opening and closing would cost as many bytes as the call. With a few fixed ones connections are
 * kept. Each node's are drawn by hash, so that all of them together join the fleet as well as
 * random ones would.
 *
 * @example
 * const neighbours = new NeighbourSet('10.0.0.1:7002');
 * neighbours.setNodes(membership.getLiveNodes());
 * neighbours.getAddresses();
 */
export class NeighbourSet {
  private nodes: readonly INode[] | undefined;
  private addresses: readonly string[] = [];

  constructor(
    private readonly self: string,
    private readonly size = DEFAULT_SIZE,
  ) {}

  /** Chooses anew when the set of live nodes is another one. */
  setNodes(nodes: readonly INode[]): void {
    if (nodes === this.nodes) return;
    this.nodes = nodes;
    this.addresses = nodes
      .filter(({ address }) => address !== this.self)
      .map(({ address }): IScoredPeer => {
        return { address, score: hashToInteger(`${this.self} ${address}`) };
      })
      .sort((left, right) => right.score - left.score)
      .slice(0, this.size)
      .map(({ address }) => address);
  }

  /** In no particular order of preference; fewer in a fleet that has fewer. */
  getAddresses(): readonly string[] {
    return this.addresses;
  }
}
