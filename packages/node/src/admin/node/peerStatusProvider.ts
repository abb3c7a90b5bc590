/** Requests the status of every live node on behalf of an operator. */
import type { MembershipService, PeerClients } from '@parsleymux/fleet';
import type { IFleetStatus } from '@parsleymux/operators';
import { StatusProvider } from '@parsleymux/operators';
import type { GetNodeStatusResponse } from '@parsleymux/schema';

const TIMEOUT_MS = 1500;
/** Concurrent status requests; limited so that a fleet of thousands gets no burst of requests. */
const MAX_CONCURRENT = 16;

/** Options of a {@link PeerStatusProvider}. */
export interface IPeerStatusProviderOptions {
  readonly membership: MembershipService;
  readonly clients: PeerClients;
  /** Peer address of this node, whose status is requested in the same way. */
  readonly self: string;
}

/**
 * Collects statuses over control calls, with a bounded number of concurrent requests.
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
    const remainingAddresses = this.options.membership.getLiveNodes().map(({ address }) => address);
    const nodes: GetNodeStatusResponse[] = [];
    const silentNodes: string[] = [];
    const fetchRemaining = async () => {
      for (
        let address = remainingAddresses.shift();
        address !== undefined;
        address = remainingAddresses.shift()
      ) {
        const status = await this.fetchStatus(address, member, signal);
        if (status === undefined) silentNodes.push(address);
        else nodes.push(status);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT }, fetchRemaining));
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
