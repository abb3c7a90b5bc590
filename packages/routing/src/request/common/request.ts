/** Requests and answers as they pass through a node. */
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
  /** The whole body, within the node's limit. */
  readonly body: Uint8Array;
  /** Instant on the process's monotonic clock, in ms, after which nobody waits for the answer. */
  readonly deadlineMs: number;
  /** Whom the caller is taken for when callers share a queue fairly. */
  readonly caller: string;
  /** Present on every request of a route that is not idempotent. */
  readonly idempotencyKey: string | undefined;
}

/** Bytes at hand, or bytes that are still arriving; an iteration that throws is a broken answer. */
export type ResponseBody = Uint8Array | AsyncIterable<Uint8Array>;

/** The whole answer to one request. Refusals are thrown as MuxError instead. */
export interface IResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: ResponseBody;
  readonly code: ResultCode;
  readonly runState: RunState;
}
