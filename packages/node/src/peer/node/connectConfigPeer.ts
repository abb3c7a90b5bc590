/** Exchanges configuration with other nodes over connect-es. */
import type { RandomSource } from '@parsleymux/base';
import type { IConfigSnapshot } from '@parsleymux/config';
import { ConfigPeer, ConfigPeerSource } from '@parsleymux/config';
import type { MembershipService, PeerClients } from '@parsleymux/fleet';
import { NeighbourSet } from '@parsleymux/fleet';

/** A peer that is identified by its address. */
class ConnectConfigPeer extends ConfigPeer {
  constructor(
    private readonly clients: PeerClients,
    private readonly self: string,
    private readonly address: string,
  ) {
    super();
  }

  override async announce(fleetRevision: number, signal: AbortSignal): Promise<number> {
    const request = { node: this.self, fleetRevision: BigInt(fleetRevision) };
    const response = await this.clients.execute(
      this.address,
      (client, options) => client.announceRevision(request, options),
      { signal },
    );
    return Number(response.fleetRevision);
  }

  override async fetchAfter(fleetRevision: number, signal: AbortSignal): Promise<IConfigSnapshot> {
    const request = { afterFleetRevision: BigInt(fleetRevision) };
    const response = await this.clients.execute(
      this.address,
      (client, options) => client.fetchConfig(request, options),
      { signal },
    );
    return { fleetRevision: Number(response.fleetRevision), members: response.members };
  }
}

/** Options of a {@link LivePeerSource}. */
export interface ILivePeerSourceOptions {
  readonly clients: PeerClients;
  readonly membership: MembershipService;
  readonly random: RandomSource;
  /** Peer address of this node. */
  readonly self: string;
}

/**
 * Picks random peers among this node's neighbours.
 *
 * @example
 * const peers = new LivePeerSource({ clients, membership, random, self });
 * await Promise.all(peers.pick(3).map((peer) => peer.announce(revision, signal)));
 */
export class LivePeerSource extends ConfigPeerSource {
  private readonly options: ILivePeerSourceOptions;
  private readonly neighbours: NeighbourSet;

  constructor(options: ILivePeerSourceOptions) {
    super();
    this.options = options;
    this.neighbours = new NeighbourSet(options.self);
  }

  override pick(count: number): readonly ConfigPeer[] {
    const { membership, random } = this.options;
    this.neighbours.setNodes(membership.getLiveNodes());
    const candidates = [...this.neighbours.getAddresses()];
    const picked: ConfigPeer[] = [];
    while (picked.length < count && candidates.length > 0) {
      const [address] = candidates.splice(random.getInteger(candidates.length), 1);
      if (address !== undefined) picked.push(this.makePeer(address));
    }
    return picked;
  }

  /** Creates the peer at an address, for example of a node that announced a revision. */
  makePeer(address: string): ConfigPeer {
    return new ConnectConfigPeer(this.options.clients, this.options.self, address);
  }
}
