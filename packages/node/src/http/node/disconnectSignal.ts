/** Detects receivers that disconnect before their response is complete. */
import type { ServerResponse } from 'node:http';
import { watchConnection } from './connectionWatcher.js';

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
  const abortUnlessFinished = () => {
    if (!response.writableFinished) abort.abort(new Error(reason));
  };
  const subscription = watchConnection(response, abortUnlessFinished);
  response.once('close', () => {
    void subscription.dispose();
    abortUnlessFinished();
  });
  return abort.signal;
}
