/**
 * The request hop between an entry and a home: plain HTTP/1.1 on the peer port.
 *
 * `POST /hop` carries the caller's end-to-end headers and body; the headers below carry the rest.
 * The home sends `102 Processing` immediately and then every {@link HEARTBEAT_MS} until it responds,
 * so that an entry can distinguish a home that is paused, partitioned or crashed from one that waits
 * for a target.
 */
export const HOP_PATH = '/hop';

/** Interval between heartbeats from a home, in ms. */
export const HEARTBEAT_MS = 500;

/** Header names of the hop. */
export const HopHeader = {
  Member: 'parsleymux-hop-member',
  Route: 'parsleymux-hop-route',
  Method: 'parsleymux-hop-method',
  Path: 'parsleymux-hop-path',
  Caller: 'parsleymux-hop-caller',
  Key: 'parsleymux-hop-key',
  /** The caller's Host. A `host` header would be used as the peer's server name in TLS. */
  Host: 'parsleymux-hop-host',
  /** Time until the caller's deadline, in ms. */
  TimeLeft: 'parsleymux-hop-time-left-ms',
  /** Revision of the member's configuration that the entry used for routing. */
  MemberRevision: 'parsleymux-hop-member-revision',
  /** Identifies one exchange. The home echoes it, so that a response to another exchange is detected. */
  Exchange: 'parsleymux-hop-exchange',
  /** On the response: the result code. Without it, the response does not come from a home. */
  Code: 'parsleymux-hop-code',
  RunState: 'parsleymux-hop-run-state',
  /** On the response: "answer", or "refusal" when the body is an error message. */
  Kind: 'parsleymux-hop-kind',
  RetryAfterMs: 'parsleymux-hop-retry-after-ms',
  /** On a response that the home streams, whose length is not known in advance. */
  Streamed: 'parsleymux-hop-streamed',
} as const;

/** Whether the home sends the target's response or a refusal. */
export const HopKind = { Response: 'answer', Refusal: 'refusal' } as const;

export type HopKind = (typeof HopKind)[keyof typeof HopKind];
