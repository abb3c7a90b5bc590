/** Requests and responses as the entry handles them. */
import type { ResultCode, RunState } from '@parsleymux/base';
import type { Header } from '@parsleymux/routing';
import type { IRouteRule } from '@parsleymux/scheduling';
import type { ICallerIdentity } from '../../tenants/common/keyChecker.js';

/** A complete request with its route. */
export interface IEntryRequest {
  /** Identifier that the caller gave the request, for logs. */
  readonly id: string;
  /** The same for all copies of a request; see computeFingerprints. */
  readonly fingerprints: readonly string[];
  readonly route: IRouteRule;
  readonly service: string;
  readonly sender: ICallerIdentity;
  /** Version of the configuration under which the request was accepted. */
  readonly catalogVersion: number;
  /** Age of this node's copy of the configuration when the request was accepted, in ms. */
  readonly catalogAgeMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Arrival time, in ms of the monotonic clock. */
  readonly arrivedMs: number;
  /** When the caller stops waiting for the response, in ms of the monotonic clock. */
  readonly deadlineMs: number;
}

/** One attempt and its outcome, as written to the request's log line. */
export interface IAttemptRecord {
  readonly target: string;
  readonly home: string;
  readonly suspicion: number;
  readonly outcome: string;
  readonly latencyMs: number;
  /** The rate limit that the target advertised in its response, in requests per second. */
  readonly rateLimit?: number | undefined;
  /** Of a failed attempt: whether its connection had carried a request before. */
  readonly isConnectionReused?: boolean | undefined;
  /** The peer through which the attempt was sent, or was last tried. */
  readonly relay?: string | undefined;
}

/** The final response to a request. */
export interface IEntryResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly code: ResultCode;
  readonly runState: RunState;
  readonly attempts: readonly IAttemptRecord[];
}
