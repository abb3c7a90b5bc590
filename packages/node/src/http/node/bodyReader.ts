/** Reads complete bodies of limited size. */
import type { IncomingMessage } from 'node:http';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { createRefusal } from '../common/refusal.js';

/**
 * Reads the body of a request. Throws BodyTooLarge when it is larger than `maxBytes`.
 *
 * @example
 * const body = await readBody(request, 1024);
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) throw createBodyTooLarge(maxBytes);
  const chunks: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Uint8Array>) {
      length += chunk.length;
      // A chunked body declares no length: without this count, one caller could exhaust the memory that
      // all members share.
      if (length > maxBytes) throw createBodyTooLarge(maxBytes);
      chunks.push(chunk);
    }
  } catch (error) {
    if (error instanceof MuxError) throw error;
    throw new MuxError({
      code: ResultCode.CallerGone,
      message: 'the request ended before its body was whole',
      runState: RunState.NotRun,
      cause: error,
    });
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
}

function createBodyTooLarge(maxBytes: number): MuxError {
  return createRefusal(ResultCode.BodyTooLarge, `the body is larger than ${maxBytes} bytes`);
}
