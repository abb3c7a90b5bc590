/** Reads the complete body of a request up to a size limit. */
import type { IncomingMessage } from 'node:http';

/** The result of reading a body. */
export type BodyResult =
  | { readonly kind: 'complete'; readonly body: Uint8Array }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'aborted' };

/**
 * Resolves when the body is complete, too large or aborted by the caller; never rejects.
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
      resolve({ kind: 'complete', body: Buffer.concat(chunks) });
    });
    request.once('error', () => {
      resolve({ kind: 'aborted' });
    });
    request.once('close', () => {
      resolve({ kind: 'aborted' });
    });
  });
}
