/** Interface through which the administration API reads the status of the fleet's nodes. */
import type { GetNodeStatusResponse } from '@parsleymux/schema';

/** Status of the fleet's nodes. */
export interface IFleetStatus {
  readonly nodes: readonly GetNodeStatusResponse[];
  /** Addresses of nodes that did not respond in time. */
  readonly silentNodes: readonly string[];
}

/** Requests the status of this node and its peers. */
export abstract class StatusProvider {
  /**
   * Returns the status of every node, with the shards of `member` only; without shards if `member` is
   * "@fleet". Resolves in bounded time even if peers do not respond.
   */
  abstract getStatus(member: string, signal: AbortSignal): Promise<IFleetStatus>;
}
