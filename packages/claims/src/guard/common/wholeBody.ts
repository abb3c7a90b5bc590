/** Holds an answer until it is whole. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ResponseBody } from '@parsleymux/routing';

/**
 * The whole body, or undefined when it is larger than `maxBytes`. Rejects with a MuxError when
 * it breaks off: the target has run the request or part of it, and nobody knows which.
 *
 * @example
 * const body = await readWholeBody(answer.body, 1 << 20);
 */
export async function readWholeBody(
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
