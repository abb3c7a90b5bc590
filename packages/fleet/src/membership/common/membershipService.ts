/** The live nodes of the fleet from this node's point of view. */
import type { Event } from '@parsleymux/base';

/** One node of the fleet. */
export interface INode {
  /** Peer address: IP address and port. Also the node's identity. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Corrects the platform's lagging VM list by the results of this node's own calls. */
export abstract class MembershipService {
  /** Fires when the result of {@link getLiveNodes} changes. */
  abstract readonly onDidChange: Event<readonly INode[]>;

  /** Returns the nodes that may receive work, this one included, sorted by address. */
  abstract getLiveNodes(): readonly INode[];

  /** Records a completed request to the peer: it was sent and a response arrived. */
  abstract recordContact(address: string): void;

  /** Records a request to the peer that failed or got no response. */
  abstract recordFailure(address: string): void;

  /** Records the peer's notice that it is shutting down. */
  abstract recordShutdown(address: string): void;
}
