/** Grant requests, decisions and outcomes, as exchanged between entries and homes. */
import type { ResultCode } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';

/** The outcome of a request that was granted a target. */
export const GrantOutcome = {
  Succeeded: 'succeeded',
  /** The target responded with an error. */
  Failed: 'failed',
  /** The target rejected the request without running it. */
  Shed: 'shed',
  /** No connection could be made. */
  Unreachable: 'unreachable',
  /** The connection broke, or the response was incomplete. */
  Broken: 'broken',
  /** No response arrived in time. */
  TimedOut: 'timed-out',
  /** The caller disconnected, or the grant was not used. */
  Abandoned: 'abandoned',
  /** Another target responded at the address. */
  Misdirected: 'misdirected',
  /** An idle connection broke on reuse, before any byte of a response. */
  Stale: 'stale',
} as const;

export type GrantOutcome = (typeof GrantOutcome)[keyof typeof GrantOutcome];

/** What an entry reports of a response in addition to the outcome. */
export interface IReportedResponse {
  /** Size of the body in bytes; 0 without a body. */
  readonly answerBytes: number;
  /** Whether the target has reported to the entry that it is draining. */
  readonly isDraining: boolean;
  /** Advertised limit in requests per second, if the response contained one. */
  readonly rateLimit?: number | undefined;
}

/** The report without a response. */
export const NO_RESPONSE: IReportedResponse = { answerBytes: 0, isDraining: false };

/** A rate limit that a target has advertised to an entry. */
export interface IAdvertisedLimit {
  readonly targetId: string;
  /** The target's incarnation, see ITargetRecord. */
  readonly bornMs: number | undefined;
  /** Limit in requests per second, for all nodes together. */
  readonly ratePerS: number;
  /** Time since it was advertised, in ms. */
  readonly ageMs: number;
}

/** Outcomes with a complete response of the target itself. */
const OUTCOMES_WITH_RESPONSE: ReadonlySet<GrantOutcome> = new Set([
  GrantOutcome.Succeeded,
  GrantOutcome.Failed,
  GrantOutcome.Shed,
]);

/**
 * Whether the target itself sent a complete response, so that the absence of a notice is known too.
 *
 * @example
 * hasCompleteResponse(GrantOutcome.Shed); // true
 */
export function hasCompleteResponse(outcome: GrantOutcome): boolean {
  return OUTCOMES_WITH_RESPONSE.has(outcome);
}

/** A request for a grant. */
export interface IGrantRequest {
  /** The caller's identifier of the request, for logs. */
  readonly requestId: string;
  /** Hashes that identify what is requested: the same for all copies of a request. */
  readonly fingerprints: readonly string[];
  /** Name of the request's route: requests of one route have similar processing times. */
  readonly route: string;
  readonly service: string;
  /** Failure domain of the entry. */
  readonly failureDomain: string;
  /** 1 for the first attempt. */
  readonly attempt: number;
  /**
   * Whether a grant was already requested without success: the grant was not used, or the first home did
   * not respond. That home may have counted the request.
   */
  readonly isRepeated: boolean;
  /**
   * Whether the request reached a target before, including another target at the same address that did
   * not run it: the retry limit applies to requests that arrive.
   */
  readonly isRetry: boolean;
  readonly isIdempotent: boolean;
  /** Whether it may be retried if this attempt fails. */
  readonly mayRetry: boolean;
  /** Whether another attempt of the request is in progress, so that this one would run concurrently. */
  readonly isHedge: boolean;
  /** Digest of the caller's key; undefined if none is required. */
  readonly key: string | undefined;
  /** Version of the configuration with which the entry admitted the request. */
  readonly catalogVersion: number;
  /** Whether an earlier attempt may have run, so that the request already holds a quota token. */
  readonly isCharged: boolean;
  readonly priority: number;
  /** Time until the request's deadline, in ms. */
  readonly remainingMs: number;
  /** Time within which a response has full credit, in ms. */
  readonly objectiveMs: number;
  /** Identifiers of targets to which the entry keeps an idle connection. */
  readonly connected: readonly string[];
  /** Identifiers of targets that must not be granted. */
  readonly excluded: readonly string[];
  /** Limits that targets of the service have advertised to the entry, latest first. */
  readonly limits: readonly IAdvertisedLimit[];
}

/** The decision on a request. */
export type GrantDecision =
  | {
      readonly kind: 'granted';
      readonly target: ITargetRecord;
      /** Probability that the target is failing, as estimated at the decision. */
      readonly suspicion: number;
      /** Whether a new connection must be used, because idle ones of the service broke on reuse recently. */
      readonly needsFreshConnection: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      /** Retry-After in ms; 0 if a later retry would not help. */
      readonly retryAfterMs: number;
    };
