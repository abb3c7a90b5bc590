/** Records of callers' requests, which are compared with the executions of targets. */
import type { RunState } from '@parsleymux/base';
import type { ICallerRequest } from './workload.js';

/** Outcome of one attempt for the caller. */
export const AttemptOutcome = {
  /** The complete response to the caller's request. */
  Answered: 'answered',
  /** A refusal of the fleet with a result code and a run state. */
  Refused: 'refused',
  /** A complete failure response of the target. */
  TargetFailed: 'target-failed',
  /** The connection to the node failed; nothing was sent. */
  NotSent: 'not-sent',
  /** The response was truncated or the connection lost, so the caller doesn't know whether it ran. */
  Broken: 'broken',
  /** No response arrived within the caller's timeout plus a margin. */
  TimedOut: 'timed-out',
  /** A response that appeared complete but was not. */
  Partial: 'partial',
  /** The response to another request. */
  Foreign: 'foreign',
  /** An error without a result code of the fleet or without a run state. */
  Unexplained: 'unexplained',
} as const;

export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** One attempt as recorded by its caller. */
export interface IAttemptRecord {
  readonly outcome: AttemptOutcome;
  readonly node: string;
  /** HTTP status, or 0 without a response. */
  readonly status: number;
  /** Result code of the fleet, or -1 without one. */
  readonly code: number;
  readonly runState: RunState | undefined;
  readonly sentAtMs: number;
  /** Time at which the caller knew the outcome, in ms since the Unix epoch. */
  readonly endedAtMs: number;
}

/** One request with all of its attempts. */
export interface IRequestRecord {
  readonly request: ICallerRequest;
  /** Ordered by the time at which they were sent. */
  readonly attempts: readonly IAttemptRecord[];
}

/**
 * The attempt that decides the outcome of a request: an answered one if there is one, else the last.
 *
 * @example
 * const outcome = getFinalAttempt(record.attempts)?.outcome;
 */
export function getFinalAttempt(attempts: readonly IAttemptRecord[]): IAttemptRecord | undefined {
  return attempts.find(({ outcome }) => outcome === AttemptOutcome.Answered) ?? attempts.at(-1);
}
