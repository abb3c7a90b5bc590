/** Maps result codes to exit statuses, for scripts that call the command line. */
import { ResultCode } from '@parsleymux/base';

/** Exit statuses. Scripts rely on the numbers, so none ever changes its meaning. */
export const ExitStatus = {
  Ok: 0,
  /** An unexpected error. */
  Failed: 1,
  /** Unknown command, wrong option, or unreadable file. */
  Usage: 2,
  /** The node rejected the request because of its content. */
  Refused: 3,
  /** A concurrent or earlier change conflicts: stale plan, decided plan, taken name. */
  Conflict: 4,
  /** The change would reduce capacity below the floor. */
  Floor: 5,
  /** The key is not accepted, or not for this operation. */
  Denied: 6,
  /** No node could be reached, or the store is unavailable; retry later. */
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
 * Returns the exit status of a result code.
 *
 * @example
 * chooseExitStatus(ResultCode.PlanStale); // 4
 */
export function chooseExitStatus(code: ResultCode): ExitStatus {
  return STATUS_BY_CODE.get(code) ?? ExitStatus.Refused;
}
