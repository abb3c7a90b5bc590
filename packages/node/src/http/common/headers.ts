/** Header names of the project, and which headers travel end to end. */
import type { Header } from '@parsleymux/routing';

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

/** Headers of this prefix belong to the project and are never passed through. */
const OWN_PREFIX = 'parsleymux-';

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those we set anew. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * The end-to-end headers among raw header fields as Node gives them: name, value, name, value.
 *
 * @example
 * const headers = listEndToEndHeaders(request.rawHeaders);
 */
export function listEndToEndHeaders(rawHeaders: readonly string[]): readonly Header[] {
  const headers: Header[] = [];
  const named = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    if (name === 'connection') addConnectionOptions(named, value);
    if (HOP_BY_HOP.has(name) || name.startsWith(OWN_PREFIX)) continue;
    headers.push([name, value]);
  }
  return named.size === 0 ? headers : headers.filter(([name]) => !named.has(name));
}

function addConnectionOptions(named: Set<string>, value: string): void {
  for (const option of value.split(',')) {
    named.add(option.trim().toLowerCase());
  }
}

/** Flattens headers to the list that `writeHead` and undici take. */
export function toRawHeaders(headers: readonly Header[]): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}
