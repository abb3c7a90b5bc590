/** Which nodes of the fleet take part, as this node sees it. */
import type { Event } from '@parsleymux/base';

/** One node of the fleet. */
export interface INode {
  /** Peer address: IP number and port. Also the node's identity. */
  readonly address: string;
  readonly failureDomain: string;
}

/** The platform's lagging list, corrected by what this node itself experienced. */
export abstract class MembershipService {
  /** Fires when the result of {@link getLiveNodes} changes. */
  abstract readonly onDidChange: Event<readonly INode[]>;

  /** Nodes that may be given work, this one included, sorted by address. */
  abstract getLiveNodes(): readonly INode[];

  /** A request to the peer completed: it was sent, and its answer came back. */
  abstract recordContact(address: string): void;

  /** A request to the peer failed or stayed unanswered. */
  abstract recordFailure(address: string): void;

  /** The peer said that it is leaving. */
  abstract recordShutdown(address: string): void;
}
