/** Other nodes as sources of configuration. */
import type { MemberConfig } from '@parsleymux/schema';

/** Everything a peer has in force that is newer than a revision. */
export interface IConfigSnapshot {
  /** The peer's revision: all changes up to it are in `members` or were known to the asker. */
  readonly fleetRevision: number;
  readonly members: readonly MemberConfig[];
}

/** One other node. Every call rejects when the exchange did not complete. */
export abstract class ConfigPeer {
  /** Tells the peer a revision, and returns the one that the peer has in force. */
  abstract announce(fleetRevision: number, signal: AbortSignal): Promise<number>;

  /** What the peer has in force that is newer than `fleetRevision`. */
  abstract fetchAfter(fleetRevision: number, signal: AbortSignal): Promise<IConfigSnapshot>;
}

/** Where peers come from. */
export abstract class ConfigPeerSource {
  /** At most `count` live peers, chosen at random. */
  abstract pick(count: number): readonly ConfigPeer[];
}
