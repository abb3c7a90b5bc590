/**
 * The request hop between an entry and a home: plain HTTP/1.1 on the peer port.
 *
 * `POST /hop` carries the caller's end-to-end headers and body; the headers below carry the rest.
 * The home answers `102 Processing` at once and again every {@link HEARTBEAT_MS} while it works,
 * so that an entry tells a home that is paused, cut off or gone from one that waits for a target.
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
  /** The caller's Host. As `host` it would be taken for the peer's name in TLS. */
  Host: 'parsleymux-hop-host',
  /** Time left to the caller's deadline, in ms. */
  TimeLeft: 'parsleymux-hop-time-left-ms',
  /** Revision of the member's configuration that the entry routed by. */
  MemberRevision: 'parsleymux-hop-member-revision',
  /** Identifies one exchange; the home echoes it, so that no answer is taken for another's. */
  Exchange: 'parsleymux-hop-exchange',
  /** On the answer: numbered result. Its absence means that no home wrote the answer. */
  Code: 'parsleymux-hop-code',
  RunState: 'parsleymux-hop-run-state',
  /** On the answer: "answer", or "refusal" when the body is a message for people. */
  Kind: 'parsleymux-hop-kind',
  RetryAfterMs: 'parsleymux-hop-retry-after-ms',
  /** On an answer that the home streams: its length is not known beforehand. */
  Streamed: 'parsleymux-hop-streamed',
} as const;

/** Whether the home answers with the target's answer or refuses. */
export const HopKind = { Response: 'answer', Refusal: 'refusal' } as const;

export type HopKind = (typeof HopKind)[keyof typeof HopKind];
