/** Asks every live node for its status on behalf of an operator. */
import type { MembershipService, PeerClients } from '@parsleymux/fleet';
import type { IFleetStatus } from '@parsleymux/operators';
import { StatusProvider } from '@parsleymux/operators';
import type { GetNodeStatusResponse } from '@parsleymux/schema';

const TIMEOUT_MS = 1500;
/** Nodes asked at once; a fleet of thousands must not be asked in one burst. */
const MAX_CONCURRENT = 16;

/** Options of a {@link PeerStatusProvider}. */
export interface IPeerStatusProviderOptions {
  readonly membership: MembershipService;
  readonly clients: PeerClients;
  /** Peer address of this node, which is asked like the others. */
  readonly self: string;
}

/**
 * Collects statuses over control calls, a few nodes at a time.
 *
 * @example
 * const status = await provider.getStatus('relinieri', signal);
 */
export class PeerStatusProvider extends StatusProvider {
  private readonly options: IPeerStatusProviderOptions;

  constructor(options: IPeerStatusProviderOptions) {
    super();
    this.options = options;
  }

  override async getStatus(member: string, signal: AbortSignal): Promise<IFleetStatus> {
    const waiting = this.options.membership.getLiveNodes().map(({ address }) => address);
    const nodes: GetNodeStatusResponse[] = [];
    const silentNodes: string[] = [];
    const work = async () => {
      for (let address = waiting.shift(); address !== undefined; address = waiting.shift()) {
        const status = await this.fetchStatus(address, member, signal);
        if (status === undefined) silentNodes.push(address);
        else nodes.push(status);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT }, work));
    nodes.sort((left, right) => (left.node < right.node ? -1 : 1));
    return { nodes, silentNodes: silentNodes.sort() };
  }

  private async fetchStatus(
    address: string,
    member: string,
    signal: AbortSignal,
  ): Promise<GetNodeStatusResponse | undefined> {
    try {
      return await this.options.clients.execute(
        address,
        (client, options) => client.getNodeStatus({ member }, options),
        { signal, timeoutMs: TIMEOUT_MS },
      );
    } catch {
      return undefined;
    }
  }
}
