/** Workloads of simulated callers. */

/** A stream of requests to one route. */
export interface IWorkload {
  readonly member: string;
  readonly service: string;
  /** Host header of the route. */
  readonly host: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly idempotent: boolean;
  /** Mean rate of the Poisson arrivals, per second. */
  readonly perSecond: number;
  /** Timeout that the caller sends with the request, in ms. */
  readonly timeoutMs: number;
  /** Maximum number of attempts, all with the same key and request id. */
  readonly maxAttempts: number;
  readonly bodyBytes: number;
  /**
   * Share of requests that are sent a second time, through another node, while the first attempt is
   * still pending, as impatient callers and clients that consider a connection lost do.
   */
  readonly twinShare: number;
}

/** One request, regardless of its number of attempts. */
export interface ICallerRequest {
  readonly workload: IWorkload;
  readonly requestId: string;
  /** Empty for an idempotent request. */
  readonly key: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** Delay until a duplicate of the first attempt is sent, in ms; undefined if there is none. */
  readonly twinAfterMs: number | undefined;
}
