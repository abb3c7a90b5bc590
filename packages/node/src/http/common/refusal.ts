/** Turning of errors into numbered answers. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

/**
 * The error itself when it is numbered. Anything else is a fault of ours: what it says stays
 * inside, and since nobody knows how far the request came, it may have run.
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
 * The refusal of a request that nothing was done for.
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
