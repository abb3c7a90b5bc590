/** Names what a caller asked for, so that two copies of one request can be told to be the same. */
import { createHash } from 'node:crypto';

/** Bytes of the hash that are kept: collisions by chance or by design are out of reach. */
const FINGERPRINT_BYTES = 16;

/** What makes two requests the same, whatever their identifiers are. */
export interface IRequestContent {
  /** Who asks. Without it, a caller could have others' requests held back by sending one like them. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  /** With the query. */
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Headers don't count: they differ between copies of one request (identifier, time left, connection).
 *
 * @example
 * computeFingerprint({ caller: '10.9.0.4', method: 'GET', host: 'a.example', path: '/x/', body });
 */
export function computeFingerprint(content: IRequestContent): string {
  const { body, caller, host, method, path } = content;
  // As JSON, no part can be moved over the border to the next one.
  const head = JSON.stringify([caller, method, host, path]);
  const hash = createHash('sha256').update(head).update(body).digest();
  return hash.subarray(0, FINGERPRINT_BYTES).toString('hex');
}
