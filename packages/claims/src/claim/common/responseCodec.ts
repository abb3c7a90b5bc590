/** Encodes responses for rows and objects and for transfer between nodes. */
import type { ResultCode } from '@parsleymux/base';
import { RunState } from '@parsleymux/base';
import type { Header, IResponse } from '@parsleymux/routing';

/** Marks a replayed response, so that callers can distinguish a replay from an execution. */
export const REPLAY_HEADER = 'idempotency-replayed';

/** A complete response in memory. */
export interface ICompleteResponse extends IResponse {
  readonly body: Uint8Array;
}

/** A recorded response. A large body is stored in an object instead. */
export interface IStoredResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly code: ResultCode;
  /** Body in base64; absent when it is stored in an object. */
  readonly body?: string;
  /** Key of the object that holds the body. */
  readonly objectKey?: string;
}

/**
 * Encodes a response together with its body.
 *
 * @example
 * const stored = encodeResponse(response);
 */
export function encodeResponse(response: ICompleteResponse): IStoredResponse {
  const { status, headers, code } = response;
  return { status, headers, code, body: Buffer.from(response.body).toString('base64') };
}

/**
 * Encodes a response whose body is stored in the object `objectKey`.
 *
 * @example
 * await objects.put(objectKey, response.body);
 * return encodeResponseHead(response, objectKey);
 */
export function encodeResponseHead(
  response: ICompleteResponse,
  objectKey: string,
): IStoredResponse {
  const { status, headers, code } = response;
  return { status, headers, code, objectKey };
}

/**
 * Decodes a response and marks it as replayed. `body` replaces the body recorded in the row.
 *
 * @example
 * return decodeResponse(stored, bytes);
 */
export function decodeResponse(stored: IStoredResponse, body?: Uint8Array): ICompleteResponse {
  return markReplayed({
    status: stored.status,
    headers: stored.headers,
    body: body ?? Buffer.from(stored.body ?? '', 'base64'),
    code: stored.code,
    runState: RunState.Ran,
  });
}

/**
 * Adds the header that marks a replay.
 *
 * @example
 * return markReplayed(outcome.response);
 */
export function markReplayed(response: ICompleteResponse): ICompleteResponse {
  const otherHeaders = response.headers.filter(([name]) => name !== REPLAY_HEADER);
  return { ...response, headers: [...otherHeaders, [REPLAY_HEADER, 'true']] };
}

/**
 * Encodes a response as bytes, for look-ups between nodes.
 *
 * @example
 * return { state: ClaimLookUp.FINISHED, answer: encodeResponseBytes(outcome.response) };
 */
export function encodeResponseBytes(response: ICompleteResponse): Uint8Array {
  return Buffer.from(JSON.stringify(encodeResponse(response)));
}

/**
 * Decodes the bytes of {@link encodeResponseBytes} and marks the response as replayed.
 *
 * @example
 * return decodeResponseBytes(lookUpResponse.answer);
 */
export function decodeResponseBytes(bytes: Uint8Array): ICompleteResponse {
  return decodeResponse(JSON.parse(Buffer.from(bytes).toString('utf8')) as IStoredResponse);
}
