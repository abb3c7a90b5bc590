/** Computes the digests that replace callers' keys everywhere outside the request header. */
import { createHash } from 'node:crypto';

/** Bytes of the hash that are kept: enough to make a second key with the same digest infeasible. */
const DIGEST_BYTES = 16;

/**
 * Returns the digest of a key, in base64url.
 *
 * @example
 * const tenant = index.findByKey(computeKeyDigest(key));
 */
export function computeKeyDigest(key: string): string {
  const hash = createHash('sha256').update(key).digest();
  return hash.subarray(0, DIGEST_BYTES).toString('base64url');
}
