/** Reads the whole body of a request within limits. */
import type { IncomingMessage } from 'node:http';

/** What came of reading. */
export type BodyResult =
  | { readonly kind: 'whole'; readonly body: Uint8Array }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'broken' };

/**
 * Resolves when the body is whole, too large or broken off; never rejects.
 *
 * @example
 * const result = await readBody(request, limits.maxBodyBytes);
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= maxBytes) chunks.push(chunk);
      else resolve({ kind: 'too-large' });
    });
    request.once('end', () => {
      resolve({ kind: 'whole', body: Buffer.concat(chunks) });
    });
    request.once('error', () => {
      resolve({ kind: 'broken' });
    });
    request.once('close', () => {
      resolve({ kind: 'broken' });
    });
  });
}
