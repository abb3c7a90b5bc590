/** Delay after which a rejected caller should retry. */
import type { MuxError } from '../../error/common/muxError.js';
import { MS_PER_SECOND } from '../../clock/common/durations.js';
import { ResultCode } from './resultCode.js';

/**
 * Delay in ms that is sent when the error itself has none. Short where another node can respond
 * immediately, longer where the cause is unlikely to end within a second.
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
  [ResultCode.ConfigurationOutdated, 1000],
  [ResultCode.NoPathToTargets, 1000],
  [ResultCode.NodeMemoryLimit, 1000],
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
 * Returns the delay in ms that is sent when the error itself has none; undefined when a retry
 * without further changes cannot succeed.
 *
 * @example
 * getDefaultRetryAfterMs(ResultCode.QueueFull); // 1000
 */
export function getDefaultRetryAfterMs(code: ResultCode): number | undefined {
  return DEFAULT_RETRY_AFTER_MS.get(code);
}

/**
 * Returns the delay to send with an error, in ms; undefined when none is sent. The error's own
 * estimate takes precedence over the default.
 *
 * @example
 * getRetryAfterMs(error); // 1500
 */
export function getRetryAfterMs(error: MuxError): number | undefined {
  const waitMs = error.retryAfterMs ?? getDefaultRetryAfterMs(error.code);
  return waitMs === undefined ? undefined : Math.ceil(waitMs);
}

/**
 * Returns the value of the Retry-After header for an error, in whole seconds and at least 1;
 * undefined when the header is omitted. Rounded up, because a caller that retries too early is
 * rejected again and adds to the load that caused the rejection.
 *
 * @example
 * formatRetryAfter(error); // '2'
 */
export function formatRetryAfter(error: MuxError): string | undefined {
  const waitMs = getRetryAfterMs(error);
  if (waitMs === undefined) return undefined;
  return String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
}
