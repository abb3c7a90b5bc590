/** Formats JSON bodies of error responses. */
import { create, toJsonString } from '@bufbuild/protobuf';
import { getResultInfo, MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ErrorBodySchema } from '@parsleymux/schema';

/**
 * Converts an error to one that may be sent to operators. Unexpected errors are replaced, because
 * their messages may contain internal or confidential details.
 *
 * @example
 * const publicError = toPublicError(error);
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
 * Formats the JSON body of an error response.
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
