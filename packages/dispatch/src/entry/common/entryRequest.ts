/** Requests and answers as the entry handles them. */
import type { ResultCode, RunState } from '@parsleymux/base';
import type { Header } from '@parsleymux/routing';
import type { IRouteRule } from '../../catalog/common/catalog.js';
import type { ICallerIdentity } from '../../tenants/common/keyChecker.js';

/** A whole request whose route is known. */
export interface IEntryRequest {
  /** The caller's identifier of the request, for logs. */
  readonly id: string;
  /** Names of what is asked for, the same for all copies of a request; see computeFingerprints. */
  readonly fingerprints: readonly string[];
  readonly route: IRouteRule;
  readonly service: string;
  readonly sender: ICallerIdentity;
  /** Version of the configuration by which the request was let in. */
  readonly catalogVersion: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** When it arrived, in ms of the monotonic clock. */
  readonly arrivedMs: number;
  /** When nobody waits for its answer any more. */
  readonly deadlineMs: number;
}

/** What became of one attempt, for the request's log line. */
export interface IAttemptRecord {
  readonly target: string;
  readonly home: string;
  readonly suspicion: number;
  readonly outcome: string;
  readonly latencyMs: number;
  /** Requests a second that the target takes, if its answer named a limit. */
  readonly rateLimit?: number | undefined;
}

/** The final answer to a request. */
export interface IEntryAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly code: ResultCode;
  readonly runState: RunState;
  readonly attempts: readonly IAttemptRecord[];
}
