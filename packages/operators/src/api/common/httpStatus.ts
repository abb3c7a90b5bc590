/** Status of HTTP and JSON body of refusals. */
import { create, toJsonString } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ErrorBodySchema } from '@parsleymux/schema';

const INTERNAL_STATUS = 500;

const STATUS_BY_CODE: ReadonlyMap<ResultCode, number> = new Map<ResultCode, number>([
  [ResultCode.MalformedRequest, 400],
  [ResultCode.MalformedIntent, 400],
  [ResultCode.Unauthenticated, 401],
  [ResultCode.Forbidden, 403],
  [ResultCode.PlanNotFound, 404],
  [ResultCode.NotFound, 404],
  [ResultCode.UnknownRoute, 404],
  [ResultCode.MethodNotAllowed, 405],
  [ResultCode.PlanStale, 409],
  [ResultCode.FloorWouldBreak, 409],
  [ResultCode.HostTaken, 409],
  [ResultCode.TargetAddressTaken, 409],
  [ResultCode.PlanAlreadyDecided, 409],
  [ResultCode.ClaimNotSettleable, 409],
  [ResultCode.BodyTooLarge, 413],
  [ResultCode.LimitExceeded, 429],
  [ResultCode.StoreUnavailable, 503],
  [ResultCode.ClaimStoreUnavailable, 503],
  [ResultCode.NotReady, 503],
]);

const NAME_BY_CODE: ReadonlyMap<number, string> = new Map(
  Object.entries(ResultCode).map(([name, code]) => [code, name]),
);

/**
 * The status of HTTP that goes with a result.
 *
 * @example
 * getHttpStatus(ResultCode.PlanStale); // 409
 */
export function getHttpStatus(code: ResultCode): number {
  return STATUS_BY_CODE.get(code) ?? INTERNAL_STATUS;
}

/**
 * The error that may be shown: an unforeseen one could name anything, so it is replaced.
 *
 * @example
 * const shown = toShownError(error);
 */
export function toShownError(error: unknown): MuxError {
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
    name: NAME_BY_CODE.get(error.code) ?? '',

    message: error.summary,
    runState: error.runState,
    retryAfterMs: Math.ceil(error.retryAfterMs ?? 0),
  });
  return toJsonString(ErrorBodySchema, body, { alwaysEmitImplicit: true });
}
