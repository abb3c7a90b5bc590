/** Header names of the project, and which headers travel end to end. */
import type { Header } from '@parsleymux/routing';
import { removeHopByHopHeaders, removeFleetHeaders } from '@parsleymux/routing';

/** Headers that callers, targets and nodes exchange. */
export const HeaderName = {
  /** Numbered result, on every answer to a caller. */
  Result: 'parsleymux-result',
  /** RunState of the request, on every answer to a caller. */
  RunState: 'parsleymux-run-state',
  /** When asking again makes sense, in ms. `retry-after` carries the same in whole seconds. */
  RetryAfterMs: 'parsleymux-retry-after-ms',
  /** Time that the sender will wait for the answer, in ms. */
  TimeoutMs: 'parsleymux-timeout-ms',
  RetryAfter: 'retry-after',
} as const;

const CONTENT_LENGTH = 'content-length';

/**
 * The end-to-end headers among raw header fields as Node gives them: name, value, name, value.
 * Whoever sends the body on declares its length anew.
 *
 * @example
 * const headers = listEndToEndHeaders(request.rawHeaders);
 */
export function listEndToEndHeaders(rawHeaders: readonly string[]): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push([(rawHeaders[index] ?? '').toLowerCase(), rawHeaders[index + 1] ?? '']);
  }
  const passed = removeFleetHeaders(removeHopByHopHeaders(headers));
  return passed.filter(([name]) => name !== CONTENT_LENGTH);
}

/**
 * Flattens headers to the list that `writeHead` and undici take.
 *
 * @example
 * toRawHeaders([['host', 'booking.example']]); // ['host', 'booking.example']
 */
export function toRawHeaders(headers: readonly Header[]): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}
