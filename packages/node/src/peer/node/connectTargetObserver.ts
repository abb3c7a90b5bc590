/** Second opinions on targets, over another node's network path. */
import type { RandomSource } from '@parsleymux/base';
import type { INode, MembershipService, PeerClients } from '@parsleymux/fleet';
import type { IObservation, IObservationRequest } from '@parsleymux/routing';
import { TargetObserver } from '@parsleymux/routing';

/** Time for the exchange with the observer itself, beside the target's, in ms. */
const EXCHANGE_MS = 500;

/** Options of a {@link ConnectTargetObserver}. */
export interface IConnectTargetObserverOptions {
  readonly clients: PeerClients;
  readonly membership: MembershipService;
  readonly random: RandomSource;
  /** This node, whose own path is in question. */
  readonly self: INode;
}

/**
 * Asks one other node, in another failure domain where there is one: a cut that this node's
 * domain shares would otherwise look like a fault of the target.
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
      const answer = await this.options.clients.execute(
        node.address,
        (client, options) => client.observeTarget(request, options),
        { signal, timeoutMs: request.timeoutMs + EXCHANGE_MS },
      );
      const { succeeded, status, latencyMs } = answer;
      return { succeeded, status, latencyMs };
    } catch {
      return undefined;
    }
  }

  private chooseNode(): INode | undefined {
    const { membership, random, self } = this.options;
    const others = membership.getLiveNodes().filter(({ address }) => address !== self.address);
    const elsewhere = others.filter(({ failureDomain }) => failureDomain !== self.failureDomain);
    const candidates = elsewhere.length > 0 ? elsewhere : others;
    return candidates[random.getInteger(candidates.length)];
  }
}
