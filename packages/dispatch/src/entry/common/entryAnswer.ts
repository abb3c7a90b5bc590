/** Makes final answers: a target's own, or the node's. */
import { MS_PER_SECOND, ResultCode, RunState, getResultInfo } from '@parsleymux/base';
import type { Header, ITargetResponse } from '@parsleymux/routing';
import type { IAttemptRecord, IEntryAnswer } from './entryRequest.js';

const NO_BODY = new Uint8Array();

/** What an answer of the node's own says. */
export interface IOwnAnswerOptions {
  readonly code: ResultCode;
  readonly runState: RunState;
  readonly attempts?: readonly IAttemptRecord[];
  /** When coming back makes sense, in ms. */
  readonly retryAfterMs?: number;
}

/**
 * Hands a target's answer on as it came.
 *
 * @example
 * const answer = makeTargetAnswer(targetAnswer, attempts);
 */
export function makeTargetAnswer(
  answer: ITargetResponse,
  attempts: readonly IAttemptRecord[],
): IEntryAnswer {
  if (!(answer.body instanceof Uint8Array)) throw new TypeError('answers are held until whole');
  return {
    status: answer.status,
    headers: answer.headers,
    body: answer.body,
    code: ResultCode.Ok,
    runState: RunState.Ran,
    attempts,
  };
}

/**
 * An answer of the node's own, with its numbered result.
 *
 * @example
 * makeOwnAnswer({ code: ResultCode.TargetTimeout, runState: RunState.MayHaveRun, attempts });
 */
export function makeOwnAnswer(options: IOwnAnswerOptions): IEntryAnswer {
  const { attempts = [], code, retryAfterMs, runState } = options;
  const headers: Header[] = [
    ['parsleymux-result', String(code)],
    ['parsleymux-run-state', runState],
  ];
  // In seconds with fractions: whole ones would be longer than many callers wait.
  if (retryAfterMs !== undefined) {
    headers.push(['retry-after', (retryAfterMs / MS_PER_SECOND).toFixed(2)]);
  }
  const status = getResultInfo(code).httpStatus;
  return { status, headers, body: NO_BODY, code, runState, attempts };
}

/**
 * The answer to a request that is refused before any target was asked for.
 *
 * @example
 * const answer = makeEntryRefusal(ResultCode.UnknownRoute);
 */
export function makeEntryRefusal(code: ResultCode, retryAfterMs?: number): IEntryAnswer {
  const wait = retryAfterMs === undefined ? {} : { retryAfterMs };
  return makeOwnAnswer({ code, runState: RunState.NotRun, ...wait });
}
