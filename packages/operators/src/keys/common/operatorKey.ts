/**
 * Operators' keys. A key reads `pmx_MEMBER_ID_SECRET`, the secret being 32 random bytes in
 * base64url. Rows hold only the secret's SHA-256: a deliberately slow hash protects secrets that
 * people choose and others can guess; 256 random bits can't be guessed at any speed, and a slow
 * hash on each request would let anyone with a made-up key spend the node's processor.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

/** The member part of keys of the fleet's operators; no member can have this name. */
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
 * A new key.
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
 * The key as operators hold it.
 *
 * @example
 * formatOperatorKey(createOperatorKey('dobrescu'));
 */
export function formatOperatorKey(key: IOperatorKey): string {
  return [KEY_PREFIX, key.member, key.id, key.secret].join('_');
}

/**
 * The parts of a key, or undefined when `text` is none.
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
 * SHA-256 of a secret, in hexadecimal.
 *
 * @example
 * hashSecret(key.secret);
 */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Whether two secrets are equal, in a time that does not tell where they differ.
 *
 * @example
 * compareSecrets(hashSecret(secret), row.hash);
 */
export function compareSecrets(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}
