/** Reads a request's body up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

/**
 * Reads the complete body as text. Throws BodyTooLarge as soon as the limit is exceeded, so that a
 * large body can't use up the memory that callers' requests need.
 *
 * @example
 * const text = await readRequestBody(request, 65536);
 */
export async function readRequestBody(request: IncomingMessage, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) {
      const message = `the body is larger than ${maxBytes} bytes`;
      throw new MuxError({ code: ResultCode.BodyTooLarge, message, runState: RunState.NotRun });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
