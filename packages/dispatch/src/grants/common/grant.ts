/** Asking for targets: what an entry says, and what it gets. */
import type { ResultCode } from '@parsleymux/base';
import type { ITargetRecord } from '../../catalog/common/catalog.js';

/** How a request that was granted a target fared. */
export const GrantOutcome = {
  Succeeded: 'succeeded',
  /** The target answered with a failure of its own. */
  Failed: 'failed',
  /** The target said that it did not run the request. */
  Shed: 'shed',
  /** No connection could be made. */
  Unreachable: 'unreachable',
  /** The connection broke, or the answer was not whole. */
  Broken: 'broken',
  /** Nothing came in time. */
  TimedOut: 'timed-out',
  /** The caller left, or the grant was not used. */
  Abandoned: 'abandoned',
  /** The address belongs to another target now. */
  Misdirected: 'misdirected',
  /** A kept connection broke when it was used again, before any byte of an answer. */
  Stale: 'stale',
} as const;

export type GrantOutcome = (typeof GrantOutcome)[keyof typeof GrantOutcome];

/** What a home is told of an answer besides how the request fared. */
export interface IReportedResponse {
  /** Size of the body; 0 where there was none. */
  readonly answerBytes: number;
  /** Whether the target has told the entry that it leaves. */
  readonly isDraining: boolean;
  /** Requests a second that the target takes, if its answer named a limit. */
  readonly rateLimit?: number | undefined;
}

/** No answer came. */
export const NO_RESPONSE: IReportedResponse = { answerBytes: 0, isDraining: false };

/** A limit of requests that a target has named to an entry. */
export interface IAdvertisedLimit {
  readonly targetId: string;
  /** The target's life, see ITargetRecord. */
  readonly bornMs: number | undefined;
  /** Requests a second that the target takes from all nodes together. */
  readonly ratePerS: number;
  /** Since it was named, in ms. */
  readonly ageMs: number;
}

/** Outcomes that rest on a whole answer of the target itself. */
const OUTCOMES_WITH_RESPONSE: ReadonlySet<GrantOutcome> = new Set([
  GrantOutcome.Succeeded,
  GrantOutcome.Failed,
  GrantOutcome.Shed,
]);

/**
 * Whether the target itself has answered, so that what the answer doesn't say is known too.
 *
 * @example
 * isAnswered(GrantOutcome.Shed); // true
 */
export function hasCompleteResponse(outcome: GrantOutcome): boolean {
  return OUTCOMES_WITH_RESPONSE.has(outcome);
}

/** What is asked for. */
export interface IGrantRequest {
  /** The caller's identifier of the request, for logs. */
  readonly requestId: string;
  /** Names of what is asked for, hashed: the same for all copies of a request. */
  readonly fingerprints: readonly string[];
  /** Name of the request's route: requests of one route take similar work. */
  readonly route: string;
  readonly service: string;
  /** Failure domain of the entry. */
  readonly failureDomain: string;
  /** 1 for the first time that the request is sent. */
  readonly attempt: number;
  /**
   * Whether the request asked before, and nothing came of it: its grant was not used, or the home that
   * was asked first said nothing. It may have been counted there.
   */
  readonly isRepeated: boolean;
  /**
   * Whether the request reached a target before. One that answered that it is another target has not
   * run it, but was reached: the limit of retries counts what arrives.
   */
  readonly isRetry: boolean;
  readonly isIdempotent: boolean;
  /** Whether it may be sent once more if this attempt fails. */
  readonly mayRetry: boolean;
  /** Whether an attempt of the request is still under way, and this one would run beside it. */
  readonly isHedge: boolean;
  /** Digest of the caller's key; undefined where none is needed. */
  readonly key: string | undefined;
  /** Version of the configuration by which the entry let the request in. */
  readonly catalogVersion: number;
  /** Whether an earlier attempt may have run, so that the request holds a token of its quota. */
  readonly isCharged: boolean;
  readonly priority: number;
  /** Time that is left to the request, in ms. */
  readonly remainingMs: number;
  /** Time within which an answer is worth most, in ms. */
  readonly objectiveMs: number;
  /** Identifiers of targets to which the entry keeps a connection that waits for a request. */
  readonly connected: readonly string[];
  /** Identifiers of targets that it must not be sent to. */
  readonly excluded: readonly string[];
  /** Limits that targets of the service have named to the entry, the latest first. */
  readonly limits: readonly IAdvertisedLimit[];
}

/** The decision on a request. */
export type GrantDecision =
  | {
      readonly kind: 'granted';
      readonly target: ITargetRecord;
      /** Probability that the target is failing, as decided upon. */
      readonly suspicion: number;
      /** Whether a kept connection must not be used: those of the service break lately. */
      readonly needsFreshConnection: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      /** When to come back, in ms; 0 if that would change nothing. */
      readonly retryAfterMs: number;
    };
