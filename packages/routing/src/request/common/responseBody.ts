/**
 * Handling of streamed bodies. Each holds a connection and a slot until it ends, so a response that
 * is not read must be discarded explicitly.
 */
import type { ResponseBody } from './request.js';

/**
 * Discards a body and closes its connection. Has no effect on complete bodies and on streams that
 * have ended.
 *
 * @example
 * if (response.destroyed) await discardBody(response.body);
 */
export async function discardBody(body: ResponseBody): Promise<void> {
  if (body instanceof Uint8Array) return;
  await body[Symbol.asyncIterator]().return?.();
}

/**
 * Returns the same body, and calls `onEnd` once when it was read to its end, broke or was
 * discarded, even before the first read. A generator would not work: discarded before it is
 * started, it runs none of its blocks.
 *
 * @example
 * const watched = watchBodyEnd(response.body, () => slot.release());
 */
export function watchBodyEnd(
  body: AsyncIterable<Uint8Array>,
  onEnd: () => void,
): AsyncIterable<Uint8Array> {
  let isEnded = false;
  const end = () => {
    if (isEnded) return;
    isEnded = true;
    onEnd();
  };
  return { [Symbol.asyncIterator]: () => watchIterator(body[Symbol.asyncIterator](), end) };
}

function watchIterator(
  source: AsyncIterator<Uint8Array>,
  end: () => void,
): AsyncIterator<Uint8Array> {
  return {
    next: async () => {
      try {
        const result = await source.next();
        if (result.done === true) end();
        return result;
      } catch (error) {
        end();
        throw error;
      }
    },
    return: async () => {
      try {
        await source.return?.();
      } finally {
        end();
      }
      return { done: true, value: undefined };
    },
  };
}
