/** Compresses response bodies with gzip for clients that accept it. */
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { gzipSync } from 'node:zlib';

/** Compressing shorter bodies costs more time than it saves. */
const MIN_COMPRESSED_BYTES = 1000;

/** The bytes to send and the headers that describe their encoding. */
export interface ICompressedBody {
  readonly bytes: Uint8Array;
  readonly headers: OutgoingHttpHeaders;
}

/**
 * Compresses `bytes` if they are at least 1000 bytes and the sender of `request` accepts gzip.
 *
 * @example
 * const { bytes, headers } = encodeCompressed(request, body);
 */
export function encodeCompressed(request: IncomingMessage, bytes: Uint8Array): ICompressedBody {
  const accepted = request.headers['accept-encoding'];
  const isAccepted = typeof accepted === 'string' && accepted.includes('gzip');
  if (!isAccepted || bytes.length < MIN_COMPRESSED_BYTES) return { bytes, headers: {} };
  return { bytes: gzipSync(bytes), headers: { 'content-encoding': 'gzip' } };
}
