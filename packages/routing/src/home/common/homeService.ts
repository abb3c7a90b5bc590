/** The home of services: owns their slots, queues, connections and health status. */
import type { ShardStatus } from '@parsleymux/schema';
import type { IResponse, IRoutedRequest } from '../../request/common/request.js';

/** Serves requests of services that this node is the home of or a substitute for. */
export abstract class HomeService {
  /**
   * Queues one request and returns its response. Rejects with a MuxError.
   * `signal` is aborted when the caller disconnects.
   */
  abstract handle(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse>;

  /** Number of free slots less the number of queued requests; negative when requests wait. */
  abstract getSpareSlots(member: string, service: string): number;

  /** Number of requests that are queued or running. */
  abstract getInFlight(): number;

  /** Status of each shard that this node serves. */
  abstract getStatus(): readonly ShardStatus[];
}
