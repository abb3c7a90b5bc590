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

/** Fields of the JSON body of a refusal to a caller. */
export interface IRefusalBody {
  readonly code: number;
  readonly name: string;
  readonly message: string;
  readonly runState: RunState;
  readonly retryAfterMs?: number;
}
