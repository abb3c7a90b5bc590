/** Peers as sources of configuration. */
import type { MemberConfig } from '@parsleymux/schema';

/** The member configurations on a peer that are newer than a given revision. */
export interface IConfigSnapshot {
  /** The peer's revision: `members` includes every change after the requested revision up to this one. */
  readonly fleetRevision: number;
  readonly members: readonly MemberConfig[];
}

/** One peer node. Every call rejects when the exchange did not complete. */
export abstract class ConfigPeer {
  /** Announces a revision to the peer and returns the peer's revision. */
  abstract announce(fleetRevision: number, signal: AbortSignal): Promise<number>;

  /** Fetches the member configurations on the peer that are newer than `fleetRevision`. */
  abstract fetchAfter(fleetRevision: number, signal: AbortSignal): Promise<IConfigSnapshot>;
}

/** Selects peers to contact. */
export abstract class ConfigPeerSource {
  /** Returns up to `count` live peers, chosen at random. */
  abstract pick(count: number): readonly ConfigPeer[];
}
