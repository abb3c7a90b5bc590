/** Answers as they are recorded in rows and objects and sent between nodes. */
import type { ResultCode } from '@parsleymux/base';
import { RunState } from '@parsleymux/base';
import type { Header, IResponse } from '@parsleymux/routing';

/** Marks an answer that was recorded earlier, so that callers can tell a replay from a run. */
export const REPLAY_HEADER = 'idempotency-replayed';

/** A whole answer in memory. */
export interface IWholeAnswer extends IResponse {
  readonly body: Uint8Array;
}

/** A recorded answer. The body is here or, when large, in an object. */
export interface IStoredAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly code: ResultCode;
  /** In base 64; absent when the body is in an object. */
  readonly body?: string;
  /** Key of the object that holds the body. */
  readonly objectKey?: string;
}

/**
 * A recorded answer with its body inside.
 *
 * @example
 * const stored = encodeAnswer(answer);
 */
export function encodeAnswer(answer: IWholeAnswer): IStoredAnswer {
  const { status, headers, code } = answer;
  return { status, headers, code, body: Buffer.from(answer.body).toString('base64') };
}

/**
 * A recorded answer whose body is in the object `objectKey`.
 *
 * @example
 * await objects.put(objectKey, answer.body);
 * return encodeAnswerHead(answer, objectKey);
 */
export function encodeAnswerHead(answer: IWholeAnswer, objectKey: string): IStoredAnswer {
  const { status, headers, code } = answer;
  return { status, headers, code, objectKey };
}

/**
 * The answer to replay, marked as such.
 *
 * @example
 * return decodeAnswer(stored, bytes);
 */
export function decodeAnswer(stored: IStoredAnswer, body?: Uint8Array): IWholeAnswer {
  return markReplayed({
    status: stored.status,
    headers: stored.headers,
    body: body ?? Buffer.from(stored.body ?? '', 'base64'),
    code: stored.code,
    runState: RunState.Ran,
  });
}

/**
 * The answer with the header that marks a replay.
 *
 * @example
 * return markReplayed(outcome.answer);
 */
export function markReplayed(answer: IWholeAnswer): IWholeAnswer {
  const kept = answer.headers.filter(([name]) => name !== REPLAY_HEADER);
  return { ...answer, headers: [...kept, [REPLAY_HEADER, 'true']] };
}

/**
 * An answer as bytes, for the look-up between nodes.
 *
 * @example
 * return { state: ClaimLookUp.FINISHED, answer: encodeAnswerBytes(outcome.answer) };
 */
export function encodeAnswerBytes(answer: IWholeAnswer): Uint8Array {
  return Buffer.from(JSON.stringify(encodeAnswer(answer)));
}

/**
 * The answer in bytes that {@link encodeAnswerBytes} made, marked as a replay.
 *
 * @example
 * return decodeAnswerBytes(said.answer);
 */
export function decodeAnswerBytes(bytes: Uint8Array): IWholeAnswer {
  return decodeAnswer(JSON.parse(Buffer.from(bytes).toString('utf8')) as IStoredAnswer);
}
