/** Notice of a receiver that left before its answer. */
import type { ServerResponse } from 'node:http';

/**
 * A signal that aborts when the connection ends before the answer was written whole. Without it
 * work would go on, and hold slots of targets, for an answer that nobody can receive.
 *
 * @example
 * const answer = await home.handle(request, createHangUpSignal(response, 'the entry hung up'));
 */
export function createDisconnectSignal(response: ServerResponse, reason: string): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abort.abort(new Error(reason));
  });
  return abort.signal;
}
