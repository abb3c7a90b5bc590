/** Buffers a response body until it is complete. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ResponseBody } from '@parsleymux/routing';

/**
 * Reads the complete body, or returns undefined if it is larger than `maxBytes`. Rejects with a
 * MuxError if the body is truncated: the target may have run the request in full or in part.
 *
 * @example
 * const body = await readCompleteBody(response.body, 1 << 20);
 */
export async function readCompleteBody(
  body: ResponseBody,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  if (body instanceof Uint8Array) return body.length <= maxBytes ? body : undefined;
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of body) {
      size += chunk.length;
      if (size > maxBytes) return undefined;
      chunks.push(chunk);
    }
  } catch (error) {
    throw new MuxError({
      code: ResultCode.AnswerTruncated,
      message: 'the answer broke off before it was whole',
      runState: RunState.MayHaveRun,
      cause: error,
    });
  }
  return Buffer.concat(chunks);
}
