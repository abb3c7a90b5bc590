/** Names a claim: the member and the caller's key, and the digest that tells requests apart. */
import { createHash } from 'node:crypto';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { IRoutedRequest } from '@parsleymux/routing';

/** Prefix of the rows of all claims. */
export const CLAIM_PREFIX = 'claim/';
const MAX_KEY_LENGTH = 255;
const PRINTABLE_KEY = /^[\x21-\x7e]+$/;

/** What identifies a claim. */
export interface IClaimIdentity {
  readonly member: string;
  /** SHA-256 of the caller's key, in hexadecimal. */
  readonly claimKey: string;
  readonly digest: string;
}

/**
 * Key of the row of one claim. The member is part of it: members' keys never meet.
 *
 * @example
 * formatClaimRowKey(identity.member, identity.claimKey);
 */
export function formatClaimRowKey(member: string, claimKey: string): string {
  return `${CLAIM_PREFIX}${member}/${claimKey}`;
}

/**
 * SHA-256 of an idempotency key, so that rows have keys of one length and reveal nothing.
 *
 * @example
 * formatClaimRowKey('north', computeClaimKey('order-17'));
 */
export function computeClaimKey(idempotencyKey: string): string {
  return createHash('sha256').update(idempotencyKey).digest('hex');
}

/**
 * The identity of a request. Throws a MuxError when its key is missing or malformed.
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

/** Digest over what makes two requests the same work; headers that vary by hop stay out. */
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
