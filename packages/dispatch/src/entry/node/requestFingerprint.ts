/** Computes fingerprints of requests, by which copies of the same request are recognized. */
import { createHash } from 'node:crypto';

/** Bytes of the hash that are kept: enough to make accidental and deliberate collisions infeasible. */
const FINGERPRINT_BYTES = 16;

/** The parts by which two requests are considered the same, whatever their identifiers are. */
export interface IRequestContent {
  /**
   * The credentials that the caller sent; undefined if it sent none. The address is not used, since one
   * caller may use many addresses and many callers may share one.
   */
  readonly caller: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Includes the query. */
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Returns the fingerprints of a request: one for the exact request, and one for all requests that differ
 * only in the query. Both are needed: a path may crash targets whatever the query is, or only with one
 * query, while requests with other queries succeed and clear the path. Headers are not included, since
 * they differ between copies of a request (identifier, remaining time, connection).
 *
 * @example
 * const [exact, anyQuery] = computeFingerprints(content);
 */
export function computeFingerprints(content: IRequestContent): readonly string[] {
  const [path = ''] = content.path.split('?', 1);
  const anyQuery = hashContent(content, path);
  return path === content.path ? [anyQuery] : [hashContent(content, content.path), anyQuery];
}

function hashContent(content: IRequestContent, path: string): string {
  const { body, caller, host, method } = content;
  // JSON keeps the parts separate: text can't move from one part to the next with the same result.
  const head = JSON.stringify([caller ?? null, method, host, path]);
  const hash = createHash('sha256').update(head).update(body).digest();
  return hash.subarray(0, FINGERPRINT_BYTES).toString('hex');
}
