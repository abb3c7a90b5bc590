/**
 * The fleet's own headers, and the hop-by-hop headers, which apply to one connection only and must
 * not be forwarded by a proxy.
 */
import type { Header } from '../../request/common/request.js';

/** The fleet's own headers of requests and responses. */
export const MuxHeader = {
  /** Time that the receiver has for the request, in ms. */
  TimeoutMs: 'parsleymux-timeout-ms',
  /** Whether a refused request was executed: one of the values of RunState. */
  RunState: 'parsleymux-run-state',
  /** `true` on a response of a target that is draining. */
  Draining: 'parsleymux-draining',
  /** Identifies one attempt. When the target echoes it, mixed-up responses are detected. */
  AttemptId: 'parsleymux-attempt-id',
} as const;

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'http2-settings',
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
 * Removes hop-by-hop headers, and those that the message's own Connection header names.
 *
 * A proxy that forwards `transfer-encoding` or `connection` lets one side control the framing of
 * the other side's connection: the next message is then split at the wrong byte.
 *
 * @example
 * removeHopByHopHeaders([['connection', 'x-a'], ['x-a', '1'], ['x-b', '2']]); // [['x-b', '2']]
 */
export function removeHopByHopHeaders(headers: readonly Header[]): readonly Header[] {
  const named = new Set(
    headers
      .filter(([name]) => name === 'connection')
      .flatMap(([, value]) => value.split(','))
      .map((token) => token.trim().toLowerCase()),
  );
  return headers.filter(([name]) => !HOP_BY_HOP.has(name) && !named.has(name));
}

/** Prefix of the fleet's own headers. */
const FLEET_PREFIX = 'parsleymux-';

/**
 * Removes the fleet's own headers: a target could otherwise set the result or the run state that
 * the fleet reports to callers.
 *
 * @example
 * removeFleetHeaders([['parsleymux-result', '0'], ['x-a', '1']]); // [['x-a', '1']]
 */
export function removeFleetHeaders(headers: readonly Header[]): readonly Header[] {
  return headers.filter(([name]) => !name.startsWith(FLEET_PREFIX));
}

/** Returns the first value of a header; `name` is in lower case. */
export function findHeader(headers: readonly Header[], name: string): string | undefined {
  return headers.find(([candidate]) => candidate === name)?.[1];
}
