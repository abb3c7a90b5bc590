/** Reads complete bodies of limited size. */
import type { IncomingMessage } from 'node:http';
import type { IRequestBodyOptions } from '@parsleymux/base';
import { BodyResult, MuxError, RequestBody, ResultCode, RunState } from '@parsleymux/base';
import { createRefusal } from '../common/refusal.js';

/**
 * Reads the body of a request. Throws a refusal when it is too large, incomplete or late.
 *
 * @example
 * const body = await readBody(request, { clock, maxBytes: 1024, deadlineMs });
 */
export async function readBody(
  request: IncomingMessage,
  options: IRequestBodyOptions,
): Promise<Uint8Array> {
  const body = new RequestBody(options);
  const result = await body.read(request);
  switch (result) {
    case BodyResult.Complete:
      // Not disposed of: a request that was dispatched goes on when its caller has left.
      return body.getContent();
    case BodyResult.TooLarge:
      throw createRefusal(
        ResultCode.BodyTooLarge,
        `the body is larger than ${options.maxBytes} bytes`,
      );
    case BodyResult.Late:
      throw createRefusal(ResultCode.RequestTimeout, 'the body did not arrive in time');
    case BodyResult.Evicted:
      throw createRefusal(ResultCode.NodeMemoryLimit, 'the bodies use all of the memory');
    case BodyResult.Aborted:
      throw new MuxError({
        code: ResultCode.CallerGone,
        message: 'the request ended before its body was whole',
        runState: RunState.NotRun,
      });
  }
}
