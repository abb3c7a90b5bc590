/** Where the administration API learns what the nodes of the fleet know. */
import type { GetNodeStatusResponse } from '@parsleymux/schema';

/** What the nodes answered. */
export interface IFleetStatus {
  readonly nodes: readonly GetNodeStatusResponse[];
  /** Addresses of nodes that did not answer in time. */
  readonly silentNodes: readonly string[];
}

/** Asks this node and its peers. */
export abstract class StatusProvider {
  /**
   * The status of every node, with the shards of `member` only; of none when it is "@fleet".
   * Resolves in bounded time whatever the peers do.
   */
  abstract getStatus(member: string, signal: AbortSignal): Promise<IFleetStatus>;
}
