/** Answers packed by gzip for clients that accept it. */
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { gzipSync } from 'node:zlib';

/** Shorter answers are not worth the time that packing takes. */
const MIN_COMPRESSED_BYTES = 1000;

/** Bytes as they are sent, with the headers that say how. */
export interface ICompressedBody {
  readonly bytes: Uint8Array;
  readonly headers: OutgoingHttpHeaders;
}

/**
 * Packs `bytes` when they are long and the sender of `request` accepts it.
 *
 * @example
 * const { bytes, headers } = encodePacked(request, answer);
 */
export function encodeCompressed(request: IncomingMessage, bytes: Uint8Array): ICompressedBody {
  const accepted = request.headers['accept-encoding'];
  const isAccepted = typeof accepted === 'string' && accepted.includes('gzip');
  if (!isAccepted || bytes.length < MIN_COMPRESSED_BYTES) return { bytes, headers: {} };
  return { bytes: gzipSync(bytes), headers: { 'content-encoding': 'gzip' } };
}
