/** Headers that speak of one connection only and must not pass through a proxy. */
import type { Header } from '../../request/common/request.js';

/** Headers of our own that travel with requests and answers. */
export const MuxHeader = {
  /** Time that the receiver has for the request, in ms. */
  TimeoutMs: 'parsleymux-timeout-ms',
  /** Whether a refused request was executed: one of the values of RunState. */
  RunState: 'parsleymux-run-state',
  /** `true` on an answer of a target that is draining. */
  Draining: 'parsleymux-draining',
  /** Identifies one attempt. A target that echoes it is protected against mixed-up answers. */
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
 * Leaves out hop-by-hop headers, and those that the message's own Connection header names.
 *
 * A proxy that forwards `transfer-encoding` or `connection` lets one side speak about the framing
 * of the other side's connection: the next message is then cut at the wrong byte.
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

/** Headers of this prefix are the fleet's own word. */
const FLEET_PREFIX = 'parsleymux-';

/**
 * Leaves out the fleet's own headers: a target that sets the result or the run state of an answer
 * would speak to callers with the fleet's voice.
 *
 * @example
 * removeOwnHeaders([['parsleymux-result', '0'], ['x-a', '1']]); // [['x-a', '1']]
 */
export function removeFleetHeaders(headers: readonly Header[]): readonly Header[] {
  return headers.filter(([name]) => !name.startsWith(FLEET_PREFIX));
}

/** The first value of a header, its name in lower case. */
export function findHeader(headers: readonly Header[], name: string): string | undefined {
  return headers.find(([candidate]) => candidate === name)?.[1];
}
