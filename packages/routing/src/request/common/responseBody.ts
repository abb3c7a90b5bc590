/**
 * Care for bodies that are still arriving. Each holds a connection and a slot until it ends, so
 * whoever lets go of an answer without reading it has to say so.
 */
import type { ResponseBody } from './request.js';

/**
 * Gives a body up: its connection is closed. Harmless for whole bodies and for ended ones.
 *
 * @example
 * if (response.destroyed) await discardBody(answer.body);
 */
export async function discardBody(body: ResponseBody): Promise<void> {
  if (body instanceof Uint8Array) return;
  await body[Symbol.asyncIterator]().return?.();
}

/**
 * The same body, with `onEnd` called once when it was read to its end, broke or was given up,
 * even before anybody began to read. A generator would not do: given up before it is started, it
 * runs none of its blocks.
 *
 * @example
 * const watched = watchBodyEnd(answer.body, () => slot.release());
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
