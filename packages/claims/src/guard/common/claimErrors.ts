/** Creates the errors of the guard, each with its accurate run state. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

const STORE_RETRY_MS = 2000;
const RUNNING_RETRY_MS = 1000;
const UNKNOWN_RETRY_MS = 30_000;

/**
 * The store is unavailable, so the request must not be dispatched. The run state covers this
 * request alone, not earlier ones with the same key. The retry delay is extended by the share
 * `jitteredShare`, between 0 and 1, so that refused callers don't retry at the same time.
 *
 * @example
 * throw makeStoreUnavailable(random.getFloat());
 */
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

/**
 * The request ran, but its recorded response can't be read now.
 *
 * @example
 * throw makeAnswerUnavailable(error);
 */
export function makeResponseUnavailable(cause: unknown): MuxError {
  return new MuxError({
    code: ResultCode.ClaimStoreUnavailable,
    message: 'the request was executed; its recorded answer cannot be read now',
    runState: RunState.Ran,
    retryAfterMs: STORE_RETRY_MS,
    cause,
  });
}

/**
 * The key was used for a request with a different digest.
 *
 * @example
 * if (claim.digest !== identity.digest) throw makeKeyConflict();
 */
export function makeKeyConflict(): MuxError {
  return new MuxError({
    code: ResultCode.IdempotencyKeyConflict,
    message: 'the idempotency key was used for another request; this one was not run',
    runState: RunState.NotRun,
  });
}

/**
 * The key contains a creation time that exceeds the retention, and it has no row.
 *
 * @example
 * if (known === undefined && isTooOld) throw makeKeyExpired();
 */
export function makeKeyExpired(): MuxError {
  return new MuxError({
    code: ResultCode.IdempotencyKeyExpired,
    message: 'the idempotency key is older than records are kept; whether it ran is not known',
    runState: RunState.MayHaveRun,
  });
}

/**
 * Another request with the key is running and does not end before this request's deadline.
 *
 * @example
 * if (outcome === undefined) throw makeStillRunning();
 */
export function makeStillRunning(): MuxError {
  return new MuxError({
    code: ResultCode.StillRunning,
    message: 'a request with this idempotency key is still running',
    runState: RunState.MayHaveRun,
    retryAfterMs: RUNNING_RETRY_MS,
  });
}

/**
 * It is unknown whether the request ran. `canChange` is true if a later look-up at the targets may
 * determine it.
 *
 * @example
 * throw makeOutcomeUnknown(request.route.lookUpPath !== '');
 */
export function makeOutcomeUnknown(canChange: boolean): MuxError {
  return new MuxError({
    code: ResultCode.OutcomeUnknown,
    message: 'the request may have been executed; it will not be executed again under this key',
    runState: RunState.MayHaveRun,
    ...(canChange ? { retryAfterMs: UNKNOWN_RETRY_MS } : {}),
  });
}

/**
 * The request ran, but its response was not recorded or has been removed.
 *
 * @example
 * if (body === undefined) throw makeAnswerNotKept();
 */
export function makeAnswerNotKept(): MuxError {
  return new MuxError({
    code: ResultCode.AnswerNotKept,
    message: 'the request was executed; its answer was not kept',
    runState: RunState.Ran,
  });
}

/**
 * The request ran according to an operator, who settled the claim.
 *
 * @example
 * if (claim.settlement !== undefined) throw makeOutcomeSettled();
 */
export function makeOutcomeSettled(): MuxError {
  return new MuxError({
    code: ResultCode.OutcomeSettled,
    message: 'the request was executed, by the word of an operator; its answer is not known',
    runState: RunState.Ran,
  });
}

/**
 * The deadline passed before the request was dispatched.
 *
 * @example
 * if (clock.getMonotonicTime() >= request.deadlineMs) throw makeDeadlinePassed();
 */
export function makeDeadlinePassed(): MuxError {
  return new MuxError({
    code: ResultCode.DeadlinePassed,
    message: 'the deadline passed before the request could be dispatched',
    runState: RunState.NotRun,
  });
}

/**
 * The caller disconnected before the request was dispatched.
 *
 * @example
 * if (signal.aborted) throw makeCallerGone();
 */
export function makeCallerGone(): MuxError {
  return new MuxError({
    code: ResultCode.CallerGone,
    message: 'the caller left before the request was dispatched',
    runState: RunState.NotRun,
  });
}

/**
 * A dispatch failed with an error without a result code, so the request may have run.
 *
 * @example
 * const failure = error instanceof MuxError ? error : makeUnexpectedError(error);
 */
export function makeUnexpectedError(cause: unknown): MuxError {
  return new MuxError({
    code: ResultCode.Internal,
    message: 'unexpected failure while the request was dispatched',
    runState: RunState.MayHaveRun,
    cause,
  });
}
