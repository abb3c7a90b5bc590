/** Implements the control calls that peers send to this node. */
import type { ClaimLookUpHandler } from '@parsleymux/claims';
import type { ConfigDistributor } from '@parsleymux/config';
import type { ControlImplementation } from '@parsleymux/fleet';
import type { HomeService, TargetTransport } from '@parsleymux/routing';
import type { NodeState } from '../../app/common/nodeState.js';
import { NodeStage } from '../../app/common/nodeState.js';
import type { LivePeerSource } from './connectConfigPeer.js';
import { observeTarget } from './targetObservation.js';

/** Options of {@link createControlImplementation}. */
export interface IControlImplementationOptions {
  readonly config: ConfigDistributor;
  readonly peers: LivePeerSource;
  readonly claims: ClaimLookUpHandler;
  readonly home: HomeService;
  readonly transport: TargetTransport;
  /** Maximum size of a response that an observation accepts, in bytes. */
  readonly maxResponseBytes: number;
  readonly state: NodeState;
  /** Peer address of this node. */
  readonly self: string;
  readonly failureDomain: string;
}

/**
 * Connects the control service to the components that implement it.
 *
 * @example
 * const implementation = createControlImplementation(options);
 * const control = makeControlHandler({ implementation, authenticator });
 */
export function createControlImplementation(
  options: IControlImplementationOptions,
): ControlImplementation {
  const { config, peers, claims, home, state } = options;
  return {
    announceRevision(request) {
      const announcer = request.node === '' ? undefined : peers.makePeer(request.node);
      const revision = config.receiveAnnouncement(Number(request.fleetRevision), announcer);
      return { fleetRevision: BigInt(revision) };
    },
    fetchConfig(request) {
      const snapshot = config.getAfter(Number(request.afterFleetRevision));
      return { fleetRevision: BigInt(snapshot.fleetRevision), members: [...snapshot.members] };
    },
    lookUpClaim: (request) => claims.handle(request),
    observeTarget: (request, context) => observeTarget(options, request, context.signal),
    getNodeStatus(request) {
      const shards = home.getStatus().filter(({ member }) => {
        return request.member === '' || member === request.member;
      });
      return {
        node: options.self,
        failureDomain: options.failureDomain,
        fleetRevision: BigInt(config.getCurrent().fleetRevision),
        ready: config.isReady() && state.getStage() === NodeStage.Serving,
        leaving: state.isShuttingDown(),
        shards: [...shards],
      };
    },
  };
}
