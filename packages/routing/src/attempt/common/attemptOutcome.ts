/** The outcome of sending a request to one target, and how it is reported to the caller. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { discardBody } from '../../request/common/responseBody.js';
import type { IResponse } from '../../request/common/request.js';
import type { ITargetResponse } from '../../transport/common/targetTransport.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';

const FIRST_SERVER_ERROR = 500;

/** An attempt that ended with a response from the target, of any status. */
export interface IAnsweredAttempt {
  readonly kind: 'answered';
  readonly target: string;
  readonly response: ITargetResponse;
}

/** An attempt that ended without a complete response. */
export interface IFailedAttempt {
  readonly kind: 'failed';
  readonly target: string;
  readonly error: TransportError;
}

export type AttemptOutcome = IAnsweredAttempt | IFailedAttempt;

/** True when the outcome can be returned to the caller as a success. */
export function isSuccessful(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'answered' &&
    !outcome.response.notRun &&
    outcome.response.status < FIRST_SERVER_ERROR
  );
}

/** True when it is certain that the target did not execute the request. */
export function isProvablyNotRun(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' ? outcome.response.notRun : !outcome.error.mayHaveRun;
}

/** True when another target may succeed. */
export function isRetryable(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'answered') return !isSuccessful(outcome);
  const { failure } = outcome.error;
  return failure !== TransportFailure.Cancelled && failure !== TransportFailure.TooLarge;
}

/**
 * Discards an outcome that is not returned to the caller, and frees the connection and slot that it
 * may hold.
 */
export function discardOutcome(outcome: AttemptOutcome | undefined): void {
  if (outcome?.kind === 'answered') void discardBody(outcome.response.body);
}

/** Converts the last outcome of a request to the caller's response, or throws the rejection. */
export function toResponse(outcome: AttemptOutcome, retryAfterMs: number): IResponse {
  if (outcome.kind === 'failed') throw toMuxError(outcome.error);
  const { response } = outcome;
  if (response.notRun) {
    throw new MuxError({
      code: ResultCode.TargetShed,
      message: 'the target shed the request',
      runState: RunState.NotRun,
      retryAfterMs: Math.ceil(retryAfterMs),
    });
  }
  const isFailure = response.status >= FIRST_SERVER_ERROR;
  return {
    status: response.status,
    headers: response.headers,
    body: response.body,
    code: isFailure ? ResultCode.TargetFailed : ResultCode.Ok,
    // An intermediary in front of the target may have sent the error status, so it is no proof of
    // execution.
    runState: isFailure ? RunState.MayHaveRun : RunState.Ran,
  };
}

const CODES: Readonly<Record<TransportFailure, ResultCode>> = {
  [TransportFailure.Connect]: ResultCode.TargetUnreachable,
  [TransportFailure.NoConnection]: ResultCode.TargetUnreachable,
  [TransportFailure.NoPath]: ResultCode.NoPathToTargets,
  [TransportFailure.Broken]: ResultCode.TargetFailed,
  [TransportFailure.Truncated]: ResultCode.AnswerTruncated,
  [TransportFailure.Timeout]: ResultCode.TargetTimeout,
  [TransportFailure.Cancelled]: ResultCode.CallerGone,
  [TransportFailure.TooLarge]: ResultCode.AnswerTooLarge,
};

function toMuxError(error: TransportError): MuxError {
  return new MuxError({
    code: CODES[error.failure],
    message: `no whole answer from the target: ${error.failure}`,
    runState: error.mayHaveRun ? RunState.MayHaveRun : RunState.NotRun,
    cause: error,
  });
}

/**
 * Wraps an error thrown by a transport. Any error other than a TransportError counts as possibly
 * run.
 */
export function toFailedAttempt(target: string, thrown: unknown): IFailedAttempt {
  const error =
    thrown instanceof TransportError
      ? thrown
      : new TransportError({
          failure: TransportFailure.Broken,
          mayHaveRun: true,
          reusedConnection: false,
          cause: thrown,
        });
  return { kind: 'failed', target, error };
}
