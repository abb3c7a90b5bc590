/** Requests and responses as they pass through a node. */
import type { ResultCode, RunState } from '@parsleymux/base';
import type { Route } from '@parsleymux/schema';

/** Name and value, the name in lower case. */
export type Header = readonly [name: string, value: string];

/** A caller's request whose route is known. */
export interface IRoutedRequest {
  readonly member: string;
  readonly route: Route;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** End-to-end headers only. */
  readonly headers: readonly Header[];
  /** The complete body, within the node's limit. */
  readonly body: Uint8Array;
  /**
   * Instant on the monotonic clock after which the caller no longer waits for the response, in ms.
   */
  readonly deadlineMs: number;
  /** Identity of the caller for fair queueing. */
  readonly caller: string;
  /** Present on every request of a route that is not idempotent. */
  readonly idempotencyKey: string | undefined;
}

/** A complete body, or a stream of chunks; a stream that throws is an incomplete body. */
export type ResponseBody = Uint8Array | AsyncIterable<Uint8Array>;

/** The response to one request. Rejections are thrown as MuxError instead. */
export interface IResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: ResponseBody;
  readonly code: ResultCode;
  readonly runState: RunState;
}
