/** Detects receivers that disconnect before their response is complete. */
import type { ServerResponse } from 'node:http';

/**
 * Creates a signal that aborts when the connection ends before the complete response was written.
 * Without it, the request would go on and occupy slots of targets although nobody receives its response.
 *
 * @example
 * const signal = createDisconnectSignal(response, 'the entry disconnected');
 * const homeResponse = await home.handle(request, signal);
 */
export function createDisconnectSignal(response: ServerResponse, reason: string): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abort.abort(new Error(reason));
  });
  return abort.signal;
}
