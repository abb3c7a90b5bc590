/** Determines the outcome of sending a request to a target. */
import type { ITargetResponse } from '@parsleymux/routing';
import { TransportError, TransportFailure } from '@parsleymux/routing';
import { GrantOutcome } from '@parsleymux/scheduling';

const FIRST_SERVER_ERROR = 500;
const MISDIRECTED = 421;

/** Checks whether a success response was sent by the target itself and is complete. */
export type ResponseCheck = (response: ITargetResponse) => boolean;

/** The result of an attempt. */
export interface IAttemptResult {
  readonly outcome: GrantOutcome;
  /** Whether the target may have run the request. */
  readonly mayHaveRun: boolean;
  /** The target's response, if it may be returned to the caller. */
  readonly response: ITargetResponse | undefined;
  /** The rate limit that the target advertised in its own response, in requests per second. */
  readonly rateLimit?: number | undefined;
  /** Of a failed exchange: whether its connection had carried a request before. */
  readonly isConnectionReused?: boolean;
  /** Whether neither this node nor a peer has a path to the target. */
  readonly hasNoPath?: boolean;
  /** The peer through which the attempt was sent, or was last tried. */
  readonly relay?: string | undefined;
}

const MISDIRECTED_RESULT: IAttemptResult = {
  outcome: GrantOutcome.Misdirected,
  mayHaveRun: false,
  response: undefined,
};

/**
 * Determines the outcome of a response.
 *
 * @example
 * const { outcome } = decideResponseOutcome(response, isAuthentic);
 */
export function decideResponseOutcome(
  response: ITargetResponse,
  isAuthentic: ResponseCheck,
): IAttemptResult {
  const { rateLimit } = response;
  if (response.notRun) {
    // Another target responded, so its rate limit does not apply to the intended target.
    if (response.status === MISDIRECTED) return MISDIRECTED_RESULT;
    return { outcome: GrantOutcome.Shed, mayHaveRun: false, response: undefined, rateLimit };
  }
  if (response.status >= FIRST_SERVER_ERROR) {
    return { outcome: GrantOutcome.Failed, mayHaveRun: true, response, rateLimit };
  }
  if (!isAuthentic(response)) {
    return { outcome: GrantOutcome.Broken, mayHaveRun: true, response: undefined };
  }
  return { outcome: GrantOutcome.Succeeded, mayHaveRun: true, response, rateLimit };
}

const FAILURE_OUTCOMES: Readonly<Record<TransportFailure, GrantOutcome>> = {
  [TransportFailure.Connect]: GrantOutcome.Unreachable,
  [TransportFailure.NoConnection]: GrantOutcome.Abandoned,
  [TransportFailure.NoPath]: GrantOutcome.Abandoned,
  [TransportFailure.Broken]: GrantOutcome.Broken,
  [TransportFailure.Truncated]: GrantOutcome.Broken,
  [TransportFailure.TooLarge]: GrantOutcome.Abandoned,
  [TransportFailure.Timeout]: GrantOutcome.TimedOut,
  [TransportFailure.Cancelled]: GrantOutcome.Abandoned,
};

/** Determines the outcome of an exchange without a complete response. */
export function decideFailureOutcome(error: unknown): IAttemptResult {
  if (!(error instanceof TransportError)) throw error;
  const isStale = error.failure === TransportFailure.Broken && error.reusedConnection;
  // A target whose responses have no end fails whatever it is asked for.
  const outcome = error.isUnbounded ? GrantOutcome.Broken : FAILURE_OUTCOMES[error.failure];
  return {
    outcome: isStale ? GrantOutcome.Stale : outcome,
    mayHaveRun: error.mayHaveRun,
    response: undefined,
    isConnectionReused: error.reusedConnection,
    hasNoPath: error.failure === TransportFailure.NoPath,
  };
}
