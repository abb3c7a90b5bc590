/** Maps results to exit statuses, for scripts that call the command line. */
import { ResultCode } from '@parsleymux/base';

/** Exit statuses. A number is never given a new meaning: scripts rely on it. */
export const ExitStatus = {
  Ok: 0,
  /** Something unforeseen. */
  Failed: 1,
  /** Unknown command, wrong option, or unreadable file. */
  Usage: 2,
  /** The node refused the request for what it is. */
  Refused: 3,
  /** Somebody else was first: stale plan, decided plan, taken name. */
  Conflict: 4,
  /** The floor would break. */
  Floor: 5,
  /** The key is not accepted, or not for this. */
  Denied: 6,
  /** No node could be reached, or the store is out; ask again later. */
  Unavailable: 7,
} as const;

export type ExitStatus = (typeof ExitStatus)[keyof typeof ExitStatus];

const STATUS_BY_CODE: ReadonlyMap<ResultCode, ExitStatus> = new Map<ResultCode, ExitStatus>([
  [ResultCode.UsageError, ExitStatus.Usage],
  [ResultCode.PlanStale, ExitStatus.Conflict],
  [ResultCode.PlanAlreadyDecided, ExitStatus.Conflict],
  [ResultCode.HostTaken, ExitStatus.Conflict],
  [ResultCode.TargetAddressTaken, ExitStatus.Conflict],
  [ResultCode.FloorWouldBreak, ExitStatus.Floor],
  [ResultCode.Unauthenticated, ExitStatus.Denied],
  [ResultCode.Forbidden, ExitStatus.Denied],
  [ResultCode.ConnectionFailed, ExitStatus.Unavailable],
  [ResultCode.StoreUnavailable, ExitStatus.Unavailable],
  [ResultCode.ClaimStoreUnavailable, ExitStatus.Unavailable],
  [ResultCode.LimitExceeded, ExitStatus.Unavailable],
  [ResultCode.NotReady, ExitStatus.Unavailable],
  [ResultCode.Internal, ExitStatus.Failed],
]);

/**
 * The exit status that goes with a result.
 *
 * @example
 * chooseExitStatus(ResultCode.PlanStale); // 4
 */
export function chooseExitStatus(code: ResultCode): ExitStatus {
  return STATUS_BY_CODE.get(code) ?? ExitStatus.Refused;
}
