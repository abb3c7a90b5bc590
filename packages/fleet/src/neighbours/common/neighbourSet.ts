/** A small, stable set of peers with which a node exchanges gossip. */
import { hashToInteger } from '@parsleymux/base';
import type { INode } from '../../membership/common/membershipService.js';

const DEFAULT_SIZE = 8;

interface IScoredPeer {
  readonly address: string;
  readonly score: number;
}

/**
 * Chooses the neighbours of one node by hash from the live nodes.
 *
 * With peers chosen at random from a large fleet, nearly every call would open a connection, and
 * opening and closing it would cost as many bytes as the call. With a few fixed peers, connections
 * are reused. Each node chooses its own by hash, so that together they connect the fleet as well as
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

  /** Chooses the neighbours again when the list of live nodes has changed. */
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

  /**
   * Returns the addresses in no particular order of preference; fewer in a fleet with fewer peers.
   */
  getAddresses(): readonly string[] {
    return this.addresses;
  }
}
