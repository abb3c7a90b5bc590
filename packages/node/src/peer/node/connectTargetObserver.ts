/** Observes targets over the network path of another node. */
import type { RandomSource } from '@parsleymux/base';
import type { INode, MembershipService, PeerClients } from '@parsleymux/fleet';
import type { IObservation, IObservationRequest } from '@parsleymux/routing';
import { TargetObserver } from '@parsleymux/routing';

/** Time for the exchange with the observer, in addition to that with the target, in ms. */
const EXCHANGE_MS = 500;

/** Options of a {@link ConnectTargetObserver}. */
export interface IConnectTargetObserverOptions {
  readonly clients: PeerClients;
  readonly membership: MembershipService;
  readonly random: RandomSource;
  /** This node, whose path to the target may be faulty. */
  readonly self: INode;
}

/**
 * Sends the request to one other node, in another failure domain if possible: otherwise a partition of
 * this node's failure domain would look like a fault of the target.
 *
 * @example
 * const observation = await observer.observe(request, signal);
 */
export class ConnectTargetObserver extends TargetObserver {
  private readonly options: IConnectTargetObserverOptions;

  constructor(options: IConnectTargetObserverOptions) {
    super();
    this.options = options;
  }

  override async observe(
    request: IObservationRequest,
    signal: AbortSignal,
  ): Promise<IObservation | undefined> {
    const node = this.chooseNode();
    if (node === undefined) return undefined;
    try {
      const response = await this.options.clients.execute(
        node.address,
        (client, options) => client.observeTarget(request, options),
        { signal, timeoutMs: request.timeoutMs + EXCHANGE_MS },
      );
      const { succeeded, status, latencyMs } = response;
      return { succeeded, status, latencyMs };
    } catch {
      return undefined;
    }
  }

  private chooseNode(): INode | undefined {
    const { membership, random, self } = this.options;
    const peers = membership.getLiveNodes().filter(({ address }) => address !== self.address);
    const remotePeers = peers.filter(({ failureDomain }) => failureDomain !== self.failureDomain);
    const candidates = remotePeers.length > 0 ? remotePeers : peers;
    return candidates[random.getInteger(candidates.length)];
  }
}
