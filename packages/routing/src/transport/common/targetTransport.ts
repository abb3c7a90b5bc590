/** Sending requests to targets. The node uses HTTP; replays and tests use fakes. */
import VError from 'verror';
import type { ResponseBody, Header } from '../../request/common/request.js';

/** One request to one target. */
export interface ITargetRequest {
  /** IP number and port. */
  readonly target: string;
  /** Whose target it is: connections are never shared between members. */
  readonly member: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Time after which the attempt fails, in ms; the target is told the same. */
  readonly timeoutMs: number;
  /** Told to the target instead of `timeoutMs`, so that its last word can still arrive. */
  readonly targetTimeoutMs?: number;
}

/** How a request is to be sent. */
export interface ISendOptions {
  /** Aborting it cancels the exchange and drops its connection. */
  readonly signal: AbortSignal;
  /** Use a connection that no request used before. Default false. */
  readonly freshConnection?: boolean;
  /** Largest answer that is held until whole, in bytes. */
  readonly maxResponseBytes: number;
  /** Stream answers above `maxAnswerBytes` instead of failing. Default false. */
  readonly streamLarge?: boolean;
  /** Called once, before the first byte may leave. Until then the request provably has not run. */
  readonly onDispatch?: () => void;
}

/** A whole answer of a target, or the head of a streamed one. */
export interface ITargetResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: ResponseBody;
  /** The target's explicit word that it did not execute the request. */
  readonly notRun: boolean;
  /** The target's own word that it is draining. */
  readonly draining: boolean;
  /** Requests a second that the target takes from all nodes together; absent if it names no limit. */
  readonly rateLimit?: number | undefined;
  /** From the first byte sent to the answer's head, in ms. */
  readonly latencyMs: number;
}

/** How an exchange with a target failed. */
export const TransportFailure = {
  /** No connection could be made; no byte left. */
  Connect: 'connect',
  /** The connection broke before an answer was whole. */
  Broken: 'broken',
  /** The answer's framing was cut short or malformed. */
  Truncated: 'truncated',
  /** Nothing came in time. */
  Timeout: 'timeout',
  /** The caller's signal aborted. */
  Cancelled: 'cancelled',
  /** Larger than allowed and not to be streamed. */
  TooLarge: 'too-large',
  /** The target's limit on connections leaves none for this node. */
  NoConnection: 'no-connection',
} as const;

export type TransportFailure = (typeof TransportFailure)[keyof typeof TransportFailure];

/** Options of a {@link TransportError}. */
export interface ITransportErrorOptions {
  readonly failure: TransportFailure;
  /** False only when it is certain that no byte of the request left. */
  readonly mayHaveRun: boolean;
  /** The exchange used a connection that had served before, so the connection may be to blame. */
  readonly reusedConnection: boolean;
  readonly cause?: unknown;
}

/** An exchange with a target that brought no whole answer. */
export class TransportError extends VError {
  readonly failure: TransportFailure;
  readonly mayHaveRun: boolean;
  readonly reusedConnection: boolean;

  constructor(options: ITransportErrorOptions) {
    super(
      options.cause instanceof Error ? { cause: options.cause } : {},
      'exchange with target failed: %s',
      options.failure,
    );
    this.name = 'TransportError';
    this.failure = options.failure;
    this.mayHaveRun = options.mayHaveRun;
    this.reusedConnection = options.reusedConnection;
  }
}

/** Sends requests to targets over connections that it owns. */
export abstract class TargetTransport {
  /** Resolves with a whole or streaming answer of any status; rejects with a TransportError. */
  abstract send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse>;

  /** Lets no further request use connections opened until now; those in use are closed after. */
  abstract retireConnections(member: string, target: string): void;

  /** Whether a connection to the target waits for a request. */
  abstract hasIdleConnection(member: string, target: string): boolean;

  /** Open connections to the target. */
  abstract getConnectionCount(member: string, target: string): number;
}
