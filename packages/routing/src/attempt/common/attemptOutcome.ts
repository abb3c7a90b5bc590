/** What came of sending a request to one target, and what a caller is told of it. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { discardBody } from '../../request/common/responseBody.js';
import type { IResponse } from '../../request/common/request.js';
import type { ITargetResponse } from '../../transport/common/targetTransport.js';
import { TransportError, TransportFailure } from '../../transport/common/targetTransport.js';

const FIRST_SERVER_ERROR = 500;

/** An attempt that ended with the target's answer, of any status. */
export interface IAnsweredAttempt {
  readonly kind: 'answered';
  readonly target: string;
  readonly response: ITargetResponse;
}

/** An attempt that ended without a whole answer. */
export interface IFailedAttempt {
  readonly kind: 'failed';
  readonly target: string;
  readonly error: TransportError;
}

export type AttemptOutcome = IAnsweredAttempt | IFailedAttempt;

/** True when the caller can be given this outcome as a success. */
export function isSuccessful(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'answered' &&
    !outcome.response.notRun &&
    outcome.response.status < FIRST_SERVER_ERROR
  );
}

/** True when it is certain that the target executed nothing. */
export function isProvablyNotRun(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' ? outcome.response.notRun : !outcome.error.mayHaveRun;
}

/** True when another target might do better. */
export function isRetryable(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'answered') return !isSuccessful(outcome);
  const { failure } = outcome.error;
  return failure !== TransportFailure.Cancelled && failure !== TransportFailure.TooLarge;
}

/** Lets go of an outcome that nobody is given, with the connection and slot that it may hold. */
export function discardOutcome(outcome: AttemptOutcome | undefined): void {
  if (outcome?.kind === 'answered') void discardBody(outcome.response.body);
}

/** The answer to give, or the refusal to throw, for the last outcome of a request. */
export function toResponse(outcome: AttemptOutcome, retryAfterMs: number): IResponse {
  if (outcome.kind === 'failed') throw toMuxError(outcome.error);
  const { response: answer } = outcome;
  if (answer.notRun) {
    throw new MuxError({
      code: ResultCode.TargetShed,
      message: 'the target shed the request',
      runState: RunState.NotRun,
      retryAfterMs: Math.ceil(retryAfterMs),
    });
  }
  const isFailure = answer.status >= FIRST_SERVER_ERROR;
  return {
    status: answer.status,
    headers: answer.headers,
    body: answer.body,
    code: isFailure ? ResultCode.TargetFailed : ResultCode.Ok,
    // An error status can come from something in front of the target, so it proves no execution.
    runState: isFailure ? RunState.MayHaveRun : RunState.Ran,
  };
}

const CODES: Readonly<Record<TransportFailure, ResultCode>> = {
  [TransportFailure.Connect]: ResultCode.TargetUnreachable,
  [TransportFailure.NoConnection]: ResultCode.TargetUnreachable,
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

/** Wraps what a transport threw, so that a fault of the transport itself is not taken for "not run". */
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
