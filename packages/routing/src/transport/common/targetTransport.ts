/**
 * The interface for sending requests to targets. The node uses HTTP; replays and tests use fakes.
 */
import VError from 'verror';
import type { ResponseBody, Header } from '../../request/common/request.js';

/** One request to one target. */
export interface ITargetRequest {
  /** IP address and port. */
  readonly target: string;
  /** Member that owns the target; connections are never shared between members. */
  readonly member: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Time after which the attempt fails, in ms; it is also sent to the target. */
  readonly timeoutMs: number;
  /**
   * Sent to the target instead of `timeoutMs`, so that its timeout response can still arrive, in
   * ms.
   */
  readonly targetTimeoutMs?: number;
}

/** Options of {@link TargetTransport.send}. */
export interface ISendOptions {
  /** Aborting it cancels the exchange and drops its connection. */
  readonly signal: AbortSignal;
  /** Uses a connection that no request has used before. Default false. */
  readonly freshConnection?: boolean;
  /** Largest response that is buffered until complete, in bytes. */
  readonly maxResponseBytes: number;
  /** Streams responses above `maxResponseBytes` instead of failing. Default false. */
  readonly streamLarge?: boolean;
  /**
   * Called once, before the first byte may be sent. Until then the request certainly has not run.
   */
  readonly onDispatch?: () => void;
}

/** A complete response from a target, or a streamed one. */
export interface ITargetResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: ResponseBody;
  /** Whether the target reports explicitly that it did not execute the request. */
  readonly notRun: boolean;
  /** Whether the target reports that it is draining. */
  readonly draining: boolean;
  /**
   * Requests per second that the target accepts from all nodes together; absent if it reports no
   * limit.
   */
  readonly rateLimit?: number | undefined;
  /** Time from the dispatch to the head of the response, in ms. */
  readonly latencyMs: number;
}

/** How an exchange with a target failed. */
export const TransportFailure = {
  /** No connection could be established; nothing was sent. */
  Connect: 'connect',
  /** The connection broke before a response was complete. */
  Broken: 'broken',
  /** The framing of the response was truncated or malformed. */
  Truncated: 'truncated',
  /** No response arrived in time. */
  Timeout: 'timeout',
  /** The caller's signal aborted. */
  Cancelled: 'cancelled',
  /** The response is larger than allowed and must not be streamed. */
  TooLarge: 'too-large',
  /** The target's limit on connections leaves none for this node. */
  NoConnection: 'no-connection',
  /** Neither this node nor a peer that it asked has a path to the target; nothing was sent. */
  NoPath: 'no-path',
} as const;

export type TransportFailure = (typeof TransportFailure)[keyof typeof TransportFailure];

/** Options of a {@link TransportError}. */
export interface ITransportErrorOptions {
  readonly failure: TransportFailure;
  /** False only when it is certain that no byte of the request was sent. */
  readonly mayHaveRun: boolean;
  /** The exchange used a connection with earlier requests, so the connection may be the cause. */
  readonly reusedConnection: boolean;
  /** The response was too large without having declared its length, so it may have no end. Default false. */
  readonly isUnbounded?: boolean;
  readonly cause?: unknown;
}

/** An exchange with a target that failed before a complete response. */
export class TransportError extends VError {
  readonly failure: TransportFailure;
  readonly mayHaveRun: boolean;
  readonly reusedConnection: boolean;
  readonly isUnbounded: boolean;

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
    this.isUnbounded = options.isUnbounded ?? false;
  }
}

/** Sends requests to targets over connections that it owns. */
export abstract class TargetTransport {
  /** Resolves with a complete or streamed response of any status; rejects with a TransportError. */
  abstract send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse>;

  /**
   * Excludes connections opened until now from further requests; those in use are closed
   * afterwards.
   */
  abstract retireConnections(member: string, target: string): void;

  /** Whether there is an idle connection to the target. */
  abstract hasIdleConnection(member: string, target: string): boolean;

  /** Number of open connections to the target. */
  abstract getConnectionCount(member: string, target: string): number;
}
