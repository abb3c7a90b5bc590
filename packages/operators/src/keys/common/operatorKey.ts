/**
 * Format of operator keys: `pmx_MEMBER_ID_SECRET`, where the secret is 32 random bytes in base64url.
 * Rows contain only the SHA-256 of the secret. A deliberately slow hash protects guessable secrets
 * that people choose; 256 random bits can't be guessed at any speed, and a slow hash on each request
 * would let anyone with an invented key use up the node's processor time.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

/** Member in the keys of the fleet's operators; no member can have this name. */
export const FLEET_MEMBER = '@fleet';

const KEY_PREFIX = 'pmx';
const SECRET_BYTES = 32;
const ID_BYTES = 6;
const KEY_PATTERN = /^pmx_(@fleet|[a-z0-9][a-z0-9-]{0,62})_([0-9a-f]{12})_([A-Za-z0-9_-]{43})$/;
const MAX_KEY_LENGTH = 200;

/** The parts of a key. */
export interface IOperatorKey {
  readonly member: string;
  readonly id: string;
  readonly secret: string;
}

/**
 * Creates a key with a random identifier and secret.
 *
 * @example
 * const key = createOperatorKey('dobrescu');
 */
export function createOperatorKey(member: string): IOperatorKey {
  return {
    member,
    id: randomBytes(ID_BYTES).toString('hex'),
    secret: randomBytes(SECRET_BYTES).toString('base64url'),
  };
}

/**
 * Formats the key as operators use it.
 *
 * @example
 * formatOperatorKey(createOperatorKey('dobrescu'));
 */
export function formatOperatorKey(key: IOperatorKey): string {
  return [KEY_PREFIX, key.member, key.id, key.secret].join('_');
}

/**
 * Parses a key; returns undefined if `text` is not one.
 *
 * @example
 * parseOperatorKey(text)?.member;
 */
export function parseOperatorKey(text: string): IOperatorKey | undefined {
  if (text.length > MAX_KEY_LENGTH) return undefined;
  const [, member, id, secret] = KEY_PATTERN.exec(text) ?? [];
  if (member === undefined || id === undefined || secret === undefined) return undefined;
  return { member, id, secret };
}

/**
 * Returns the SHA-256 of a secret, in hexadecimal.
 *
 * @example
 * hashSecret(key.secret);
 */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Returns whether two secrets are equal. The time does not depend on where they differ.
 *
 * @example
 * compareSecrets(hashSecret(secret), row.hash);
 */
export function compareSecrets(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}
