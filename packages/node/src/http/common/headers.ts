/** Header names of the project, and selection of end-to-end headers. */
import type { Header } from '@parsleymux/routing';
import { removeHopByHopHeaders, removeFleetHeaders } from '@parsleymux/routing';

/** Headers that callers, targets and nodes exchange. */
export const HeaderName = {
  /** Result code, on every response to a caller. */
  Result: 'parsleymux-result',
  /** RunState of the request, on every response to a caller. */
  RunState: 'parsleymux-run-state',
  /** Time after which a retry makes sense, in ms; `retry-after` has the same time in whole seconds. */
  RetryAfterMs: 'parsleymux-retry-after-ms',
  /** Time that the sender waits for the response, in ms. */
  TimeoutMs: 'parsleymux-timeout-ms',
  RetryAfter: 'retry-after',
} as const;

const CONTENT_LENGTH = 'content-length';

/**
 * Lists the end-to-end headers of raw header fields as Node.js provides them: name, value, name, value.
 * The content length is omitted, since the component that forwards the body sets it.
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
 * Flattens headers to the list format of `writeHead` and undici.
 *
 * @example
 * toRawHeaders([['host', 'booking.example']]); // ['host', 'booking.example']
 */
export function toRawHeaders(headers: readonly Header[]): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}
