/** What callers saw, kept for comparison with what the targets executed. */
import type { RunState } from '@parsleymux/base';
import type { ICallerRequest } from './workload.js';

/** How one attempt ended for the caller. */
export const AttemptOutcome = {
  /** The whole answer to the caller's own request. */
  Answered: 'answered',
  /** A refusal by the fleet, with a result code and a run state. */
  Refused: 'refused',
  /** The target's own failure, passed on whole. */
  TargetFailed: 'target-failed',
  /** No connection to the node could be made; nothing was sent. */
  NotSent: 'not-sent',
  /** An answer that was visibly cut, or a connection that broke: the caller knows nothing. */
  Broken: 'broken',
  /** Nothing came in the caller's time and a margin. */
  TimedOut: 'timed-out',
  /** An answer that looked whole and was not. */
  Partial: 'partial',
  /** The answer to another request. */
  Foreign: 'foreign',
  /** An error without the fleet's result code or without a run state. */
  Unexplained: 'unexplained',
} as const;

export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** One attempt as its caller saw it. */
export interface IAttemptRecord {
  readonly outcome: AttemptOutcome;
  readonly node: string;
  /** HTTP status, or 0 when none came. */
  readonly status: number;
  /** The fleet's result code, or -1 when none came. */
  readonly code: number;
  readonly runState: RunState | undefined;
  readonly sentAtMs: number;
  /** Milliseconds since the Unix epoch at which the caller knew. */
  readonly endedAtMs: number;
}

/** One request with all its attempts. */
export interface IRequestRecord {
  readonly request: ICallerRequest;
  /** In the order in which they were sent. */
  readonly attempts: readonly IAttemptRecord[];
}

/**
 * How the request ended in the end: answered, if any attempt was.
 *
 * @example
 * const outcome = getFinalAttempt(record.attempts)?.outcome;
 */
export function getFinalAttempt(attempts: readonly IAttemptRecord[]): IAttemptRecord | undefined {
  return attempts.find(({ outcome }) => outcome === AttemptOutcome.Answered) ?? attempts.at(-1);
}
