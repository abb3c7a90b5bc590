/** The home of services: owns their slots, queue, connections and health verdicts. */
import type { ShardStatus } from '@parsleymux/schema';
import type { IResponse, IRoutedRequest } from '../../request/common/request.js';

/** Serves requests of the services that this node is home of, or stands in for. */
export abstract class HomeService {
  /**
   * Serves one request from queue to answer. Rejects with a MuxError.
   * Aborting `signal` says that the caller is gone.
   */
  abstract handle(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse>;

  /** Slots that are free now, less what is queued; negative when requests wait. */
  abstract getSpareSlots(member: string, service: string): number;

  /** Requests that are queued or running. */
  abstract getInFlight(): number;

  /** What is known of each shard served here. */
  abstract getStatus(): readonly ShardStatus[];
}
