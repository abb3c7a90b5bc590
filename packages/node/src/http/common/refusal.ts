/** Converts errors into refusals with a result code. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

/**
 * Returns the error itself when it has a result code. Any other error is an internal fault: its message
 * is not sent to callers, and since the progress of the request is unknown, it may have run.
 *
 * @example
 * const refusal = toMuxError(error);
 */
export function toMuxError(error: unknown): MuxError {
  if (error instanceof MuxError) return error;
  return new MuxError({
    code: ResultCode.Internal,
    message: 'internal error',
    runState: RunState.MayHaveRun,
    cause: error,
  });
}

/**
 * Creates the refusal of a request that was not run.
 *
 * @example
 * throw createRefusal(ResultCode.UnknownHost, 'no member serves this host');
 */
export function createRefusal(code: ResultCode, message: string, retryAfterMs?: number): MuxError {
  return new MuxError({
    code,
    message,
    runState: RunState.NotRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

/** Fields of the JSON body of a refusal to a caller. */
export interface IRefusalBody {
  readonly code: number;
  readonly name: string;
  readonly message: string;
  readonly runState: RunState;
  readonly retryAfterMs?: number;
}
