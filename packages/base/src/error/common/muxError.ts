/** The typed error of the project: a numbered result, whether the request ran, and a cause. */
import VError from 'verror';
import type { ResultCode } from '../../result/common/resultCode.js';
import { RunState } from '../../result/common/resultCode.js';

/** Options of a {@link MuxError}. */
export interface IMuxErrorOptions {
  readonly code: ResultCode;
  /** Sentence for people; names nothing that belongs to another member. */
  readonly message: string;
  readonly runState: RunState;
  readonly cause?: unknown;
  /** Milliseconds after which asking again makes sense. Absent when asking again is of no use. */
  readonly retryAfterMs?: number;
}

/**
 * An error that can be answered to a caller as it is.
 *
 * @example
 * throw new MuxError({ code: ResultCode.QueueFull, message: 'queue is full', runState: RunState.NotRun });
 */
export class MuxError extends VError {
  readonly code: ResultCode;
  readonly runState: RunState;
  readonly retryAfterMs: number | undefined;
  /** The message alone; `message` goes on with those of the causes, which callers must not see. */
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
   * The same refusal for a request that somebody may have executed: an earlier attempt, or a node
   * that fell silent with it. "Not run" of the last attempt alone would be false of the request.
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
