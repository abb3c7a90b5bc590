/** The project's error type: a result code, whether the request was executed, and a cause. */
import VError from 'verror';
import type { ResultCode } from '../../result/common/resultCode.js';
import { RunState } from '../../result/common/resultCode.js';

/** Options of a {@link MuxError}. */
export interface IMuxErrorOptions {
  readonly code: ResultCode;
  /** Human-readable sentence; must not contain data of other members. */
  readonly message: string;
  readonly runState: RunState;
  readonly cause?: unknown;
  /** Milliseconds after which the caller may retry. Absent when a retry cannot succeed. */
  readonly retryAfterMs?: number;
}

/**
 * An error that can be sent to a caller without translation.
 *
 * @example
 * throw new MuxError({ code: ResultCode.QueueFull, message: 'queue is full', runState: RunState.NotRun });
 */
export class MuxError extends VError {
  readonly code: ResultCode;
  readonly runState: RunState;
  readonly retryAfterMs: number | undefined;
  /** The message without the causes' messages that `message` appends; callers must not see those. */
  readonly summary: string;

  constructor(options: IMuxErrorOptions) {
    const cause = options.cause instanceof Error ? options.cause : undefined;
    super(cause === undefined ? {} : { cause }, '%s', options.message);
    this.name = 'MuxError';
    this.code = options.code;
    this.runState = options.runState;
    this.retryAfterMs = options.retryAfterMs;
    this.summary = options.message;
  }

  /**
   * Returns the same error with the run state `MayHaveRun` in place of `NotRun`. For a request
   * that an earlier attempt, or a node that stopped responding, may have executed: the last
   * attempt did not run, but that does not hold for the whole request.
   */
  toMayHaveRun(): MuxError {
    if (this.runState !== RunState.NotRun) return this;
    return new MuxError({
      code: this.code,
      message: this.summary,
      runState: RunState.MayHaveRun,
      cause: this,
      ...(this.retryAfterMs === undefined ? {} : { retryAfterMs: this.retryAfterMs }),
    });
  }
}
