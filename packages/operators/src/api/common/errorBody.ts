/** JSON bodies of refusals. */
import { create, toJsonString } from '@bufbuild/protobuf';
import { getResultInfo, MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ErrorBodySchema } from '@parsleymux/schema';

/**
 * The error that may be shown: an unforeseen one could name anything, so it is replaced.
 *
 * @example
 * const shown = toPublicError(error);
 */
export function toPublicError(error: unknown): MuxError {
  if (error instanceof MuxError) return error;
  return new MuxError({
    code: ResultCode.Internal,
    message: 'internal error; the node has logged it',
    runState: RunState.MayHaveRun,
    cause: error,
  });
}

/**
 * The JSON body of a refusal.
 *
 * @example
 * response.end(formatErrorBody(error));
 */
export function formatErrorBody(error: MuxError): string {
  const body = create(ErrorBodySchema, {
    code: error.code,
    name: getResultInfo(error.code).name,

    message: error.summary,
    runState: error.runState,
    retryAfterMs: Math.ceil(error.retryAfterMs ?? 0),
  });
  return toJsonString(ErrorBodySchema, body, { alwaysEmitImplicit: true });
}
