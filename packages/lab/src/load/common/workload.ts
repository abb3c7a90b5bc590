/** What callers ask for. */

/** A stream of requests to one route. */
export interface IWorkload {
  readonly member: string;
  readonly service: string;
  /** Host header of the route. */
  readonly host: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly idempotent: boolean;
  /** Mean arrivals a second; they are a Poisson stream. */
  readonly perSecond: number;
  /** What the caller says it waits, in ms. */
  readonly timeoutMs: number;
  /** Times that the caller asks in all, with the same key and request id. */
  readonly maxAttempts: number;
  readonly bodyBytes: number;
  /**
   * Share of requests that are asked a second time, through another node, while the first attempt
   * still runs: by impatient callers, and by clients that think a connection lost.
   */
  readonly twinShare: number;
}

/** One request, however often it is asked. */
export interface ICallerRequest {
  readonly workload: IWorkload;
  readonly requestId: string;
  /** Empty for an idempotent request. */
  readonly key: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** After this time a twin of the first attempt is sent, in ms; undefined: none. */
  readonly twinAfterMs: number | undefined;
}
