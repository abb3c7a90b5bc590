/** Judges what came of sending a request to a target. */
import type { ITargetResponse } from '@parsleymux/routing';
import { TransportError, TransportFailure } from '@parsleymux/routing';
import { GrantOutcome } from '../../grants/common/grant.js';

const FIRST_SERVER_ERROR = 500;
const MISDIRECTED = 421;

/** Tells whether an answer with a good status really comes whole from a target. */
export type AnswerCheck = (answer: ITargetResponse) => boolean;

/** The judgement. */
export interface IAttemptResult {
  readonly outcome: GrantOutcome;
  /** Whether the target may have run the request. */
  readonly mayHaveRun: boolean;
  /** The answer, if it may be handed to the caller. */
  readonly answer: ITargetResponse | undefined;
  /** Requests a second that the target takes, if its own answer named a limit. */
  readonly rateLimit?: number | undefined;
}

const MISDIRECTED_RESULT: IAttemptResult = {
  outcome: GrantOutcome.Misdirected,
  mayHaveRun: false,
  answer: undefined,
};

/**
 * Judges an answer.
 *
 * @example
 * const { outcome } = decideAnswerOutcome(answer, isAuthentic);
 */
export function decideAnswerOutcome(
  answer: ITargetResponse,
  isAuthentic: AnswerCheck,
): IAttemptResult {
  const { rateLimit } = answer;
  if (answer.notRun) {
    // Another target answered: its limit is none of the one that was meant.
    if (answer.status === MISDIRECTED) return MISDIRECTED_RESULT;
    return { outcome: GrantOutcome.Shed, mayHaveRun: false, answer: undefined, rateLimit };
  }
  if (answer.status >= FIRST_SERVER_ERROR) {
    return { outcome: GrantOutcome.Failed, mayHaveRun: true, answer, rateLimit };
  }
  if (!isAuthentic(answer)) {
    return { outcome: GrantOutcome.Broken, mayHaveRun: true, answer: undefined };
  }
  return { outcome: GrantOutcome.Succeeded, mayHaveRun: true, answer, rateLimit };
}

const FAILURE_OUTCOMES: Readonly<Record<TransportFailure, GrantOutcome>> = {
  [TransportFailure.Connect]: GrantOutcome.Unreachable,
  [TransportFailure.NoConnection]: GrantOutcome.Abandoned,
  [TransportFailure.Broken]: GrantOutcome.Broken,
  [TransportFailure.Truncated]: GrantOutcome.Broken,
  [TransportFailure.TooLarge]: GrantOutcome.Abandoned,
  [TransportFailure.Timeout]: GrantOutcome.TimedOut,
  [TransportFailure.Cancelled]: GrantOutcome.Abandoned,
};

/** Judges an exchange that brought no whole answer. */
export function decideFailureOutcome(error: unknown): IAttemptResult {
  if (!(error instanceof TransportError)) throw error;
  const isStale = error.failure === TransportFailure.Broken && error.reusedConnection;
  return {
    outcome: isStale ? GrantOutcome.Stale : FAILURE_OUTCOMES[error.failure],
    mayHaveRun: error.mayHaveRun,
    answer: undefined,
  };
}
