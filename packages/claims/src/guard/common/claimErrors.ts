/** The refusals of the guard, each with its true run state. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

const STORE_RETRY_MS = 2000;
const RUNNING_RETRY_MS = 1000;
const UNKNOWN_RETRY_MS = 30_000;

/** The store can't be reached, so nobody may dispatch. Speaks of this request alone. */
export function makeStoreUnavailable(jitteredShare: number): MuxError {
  return new MuxError({
    code: ResultCode.ClaimStoreUnavailable,
    message:
      'the store of idempotency keys is unavailable; this request was not run, ' +
      'though an earlier one with the same key may have been; ask again with the same key',
    runState: RunState.NotRun,
    retryAfterMs: STORE_RETRY_MS * (1 + jitteredShare),
  });
}

/** It ran, and its recorded answer can't be read just now. */
export function makeAnswerUnavailable(cause: unknown): MuxError {
  return new MuxError({
    code: ResultCode.ClaimStoreUnavailable,
    message: 'the request was executed; its recorded answer cannot be read now',
    runState: RunState.Ran,
    retryAfterMs: STORE_RETRY_MS,
    cause,
  });
}

export function makeKeyConflict(): MuxError {
  return new MuxError({
    code: ResultCode.IdempotencyKeyConflict,
    message: 'the idempotency key was used for another request; this one was not run',
    runState: RunState.NotRun,
  });
}

/** Of a key that tells its own age. */
export function makeKeyExpired(): MuxError {
  return new MuxError({
    code: ResultCode.IdempotencyKeyExpired,
    message: 'the idempotency key is older than records are kept; whether it ran is not known',
    runState: RunState.MayHaveRun,
  });
}

export function makeStillRunning(): MuxError {
  return new MuxError({
    code: ResultCode.StillRunning,
    message: 'a request with this idempotency key is still running',
    runState: RunState.MayHaveRun,
    retryAfterMs: RUNNING_RETRY_MS,
  });
}

/** `canChange` when the targets can be asked again later. */
export function makeOutcomeUnknown(canChange: boolean): MuxError {
  return new MuxError({
    code: ResultCode.OutcomeUnknown,
    message: 'the request may have been executed; it will not be executed again under this key',
    runState: RunState.MayHaveRun,
    ...(canChange ? { retryAfterMs: UNKNOWN_RETRY_MS } : {}),
  });
}

export function makeAnswerNotKept(): MuxError {
  return new MuxError({
    code: ResultCode.AnswerNotKept,
    message: 'the request was executed; its answer was not kept',
    runState: RunState.Ran,
  });
}

export function makeOutcomeSettled(): MuxError {
  return new MuxError({
    code: ResultCode.OutcomeSettled,
    message: 'the request was executed, by the word of an operator; its answer is not known',
    runState: RunState.Ran,
  });
}

export function makeDeadlinePassed(): MuxError {
  return new MuxError({
    code: ResultCode.DeadlinePassed,
    message: 'the deadline passed before the request could be dispatched',
    runState: RunState.NotRun,
  });
}

export function makeCallerGone(): MuxError {
  return new MuxError({
    code: ResultCode.CallerGone,
    message: 'the caller left before the request was dispatched',
    runState: RunState.NotRun,
  });
}

export function makeUnexpectedError(cause: unknown): MuxError {
  return new MuxError({
    code: ResultCode.Internal,
    message: 'unexpected failure while the request was dispatched',
    runState: RunState.MayHaveRun,
    cause,
  });
}
