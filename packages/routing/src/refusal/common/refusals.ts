/** Rejections by a home. Each one states that the request was not run. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

function createRefusal(code: ResultCode, message: string, retryAfterMs?: number): MuxError {
  return new MuxError({
    code,
    message,
    runState: RunState.NotRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) }),
  });
}

/** The queue of the service is full. */
export function makeQueueFull(retryAfterMs: number): MuxError {
  return createRefusal(ResultCode.QueueFull, 'the queue of the service is full', retryAfterMs);
}

/** No target could respond before the deadline of the request. */
export function makeQueueTimeout(retryAfterMs: number): MuxError {
  return createRefusal(
    ResultCode.QueueTimeout,
    'no target can answer before the deadline',
    retryAfterMs,
  );
}

/** No target of the service may receive work. */
export function makeNoTarget(retryAfterMs: number): MuxError {
  return createRefusal(ResultCode.NoTarget, 'no target of the service is serving', retryAfterMs);
}

/** The member has more requests on this node than its share while the node is full. */
export function makeMemberLimit(retryAfterMs: number): MuxError {
  return createRefusal(
    ResultCode.MemberLimit,
    'the member has too many requests on this node',
    retryAfterMs,
  );
}

/** The deadline passed before anything was sent. */
export function makeDeadlinePassed(): MuxError {
  return createRefusal(ResultCode.DeadlinePassed, 'the deadline passed before dispatch');
}

/** The caller disconnected before anything was sent. */
export function makeCallerGone(): MuxError {
  return createRefusal(ResultCode.CallerGone, 'the caller went away before dispatch');
}
