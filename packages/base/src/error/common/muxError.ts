/** The typed error of the project: a numbered result, whether the request ran, and a cause. */
import VError from 'verror';
import type { ResultCode, RunState } from '../../result/common/resultCode.js';

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
}
