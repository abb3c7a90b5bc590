/** Identifies a claim by member and idempotency key, and its request by a digest. */
import { createHash } from 'node:crypto';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { IRoutedRequest } from '@parsleymux/routing';

/** Prefix of the row keys of all claims. */
export const CLAIM_PREFIX = 'claim/';
const MAX_KEY_LENGTH = 255;
const PRINTABLE_KEY = /^[\x21-\x7e]+$/;

/** Identity of a claim and digest of its request. */
export interface IClaimIdentity {
  readonly member: string;
  /** SHA-256 of the caller's idempotency key, in hexadecimal. */
  readonly claimKey: string;
  readonly digest: string;
}

/**
 * Formats the key of a claim's row. It contains the member, so keys of different members never collide.
 *
 * @example
 * formatClaimRowKey(identity.member, identity.claimKey);
 */
export function formatClaimRowKey(member: string, claimKey: string): string {
  return `${CLAIM_PREFIX}${member}/${claimKey}`;
}

/**
 * Computes the SHA-256 of an idempotency key, which gives row keys a fixed length and hides the
 * caller's key.
 *
 * @example
 * formatClaimRowKey('north', computeClaimKey('order-17'));
 */
export function computeClaimKey(idempotencyKey: string): string {
  return createHash('sha256').update(idempotencyKey).digest('hex');
}

/**
 * Computes the identity of a request. Throws a MuxError when its key is missing or malformed.
 *
 * @example
 * const identity = getClaimIdentity(request);
 */
export function getClaimIdentity(request: IRoutedRequest): IClaimIdentity {
  const key = request.idempotencyKey;
  if (key === undefined || key === '') {
    throw refuseKey(
      ResultCode.IdempotencyKeyMissing,
      `header ${request.route.keyHeader || 'idempotency-key'} is missing`,
    );
  }
  if (key.length > MAX_KEY_LENGTH || !PRINTABLE_KEY.test(key)) {
    throw refuseKey(
      ResultCode.IdempotencyKeyMalformed,
      `an idempotency key is 1 to ${MAX_KEY_LENGTH} printable ASCII characters without spaces`,
    );
  }
  return {
    member: request.member,
    claimKey: computeClaimKey(key),
    digest: computeRequestDigest(request),
  };
}

/** Digests the parts that make two requests equivalent. Headers that vary by hop are excluded. */
function computeRequestDigest(request: IRoutedRequest): string {
  const contentType = request.headers.find(([name]) => name === 'content-type')?.[1] ?? '';
  const head = [request.route.host, request.method, request.path, contentType];
  return createHash('sha256')
    .update(JSON.stringify(head))
    .update('\n')
    .update(request.body)
    .digest('hex');
}

function refuseKey(code: ResultCode, message: string): MuxError {
  return new MuxError({ code, message, runState: RunState.NotRun });
}
