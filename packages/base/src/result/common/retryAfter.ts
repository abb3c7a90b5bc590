/** When a refused caller should come back. */
import type { MuxError } from '../../error/common/muxError.js';
import { MS_PER_SECOND } from '../../clock/common/durations.js';
import { ResultCode } from './resultCode.js';

/**
 * Wait that is named when the refusal itself estimates none, in ms. Short where another node
 * answers at once, longer where the cause is unlikely to pass within a second.
 */
const DEFAULT_RETRY_AFTER_MS: ReadonlyMap<ResultCode, number> = new Map<ResultCode, number>([
  [ResultCode.QueueFull, 1000],
  [ResultCode.QueueTimeout, 1000],
  [ResultCode.NoTarget, 5000],
  [ResultCode.NodeLeaving, 1000],
  [ResultCode.NodeIsolated, 1000],
  [ResultCode.NotReady, 1000],
  [ResultCode.TooManyConnections, 2000],
  [ResultCode.MemberLimit, 2000],
  [ResultCode.RetryBudgetSpent, 1000],
  [ResultCode.RequestQuarantined, 60_000],
  [ResultCode.KeysOutdated, 1000],
  [ResultCode.QuotaExceeded, 1000],
  [ResultCode.TargetShed, 1000],
  [ResultCode.ClaimStoreUnavailable, 5000],
  [ResultCode.StillRunning, 1000],
  [ResultCode.StoreUnavailable, 5000],
  [ResultCode.LimitExceeded, 5000],
  [ResultCode.DeadlinePassed, 1000],
  [ResultCode.TargetUnreachable, 1000],
  [ResultCode.TargetFailed, 1000],
  [ResultCode.TargetTimeout, 1000],
  [ResultCode.AnswerTruncated, 1000],
  [ResultCode.PeerUnreachable, 1000],
  [ResultCode.Internal, 1000],
]);

/**
 * The wait that a result is answered with when the refusal names none; undefined when coming
 * back by itself changes nothing.
 *
 * @example
 * getDefaultRetryAfterMs(ResultCode.QueueFull); // 1000
 */
export function getDefaultRetryAfterMs(code: ResultCode): number | undefined {
  return DEFAULT_RETRY_AFTER_MS.get(code);
}

/**
 * The wait to name with a refusal, in ms; undefined when none is to be named. The refusal's own
 * estimate goes first.
 *
 * @example
 * getRetryAfterMs(error); // 1500
 */
export function getRetryAfterMs(error: MuxError): number | undefined {
  const waitMs = error.retryAfterMs ?? getDefaultRetryAfterMs(error.code);
  return waitMs === undefined ? undefined : Math.ceil(waitMs);
}

/**
 * The value of the Retry-After header for a refusal, in whole seconds of at least 1; undefined
 * when the header is to be left out. Rounded up: a caller that comes back too early is refused
 * again and adds to the load that made the refusal necessary.
 *
 * @example
 * formatRetryAfter(error); // '2'
 */
export function formatRetryAfter(error: MuxError): string | undefined {
  const waitMs = getRetryAfterMs(error);
  if (waitMs === undefined) return undefined;
  return String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
}
