/** The interface through which a node sends an attempt through a peer. */
import type { Header, ISendOptions, ITargetRequest, ITargetResponse } from '@parsleymux/routing';
import VError from 'verror';

/** Why a peer did not send an attempt. In each case the request has not run. */
export const RelayRefusal = {
  /** The peer has no path to the target either. */
  NoPath: 'no-path',
  /** The peer relays as many attempts as it can without delaying its own callers. */
  Busy: 'busy',
  /** The peer is shutting down. */
  Stopping: 'stopping',
  /** The peer doesn't know this incarnation of the target. */
  UnknownTarget: 'unknown-target',
  /** The peer knows that the target is draining or must not be used now. */
  ExcludedTarget: 'excluded-target',
  /** The peer did not respond in time, or could not be reached. */
  Silent: 'silent',
  /** The peer doesn't relay, or not for this node. */
  Unsupported: 'unsupported',
} as const;

export type RelayRefusal = (typeof RelayRefusal)[keyof typeof RelayRefusal];

/** A peer did not send the attempt. */
export class RelayRefusedError extends VError {
  constructor(
    readonly reason: RelayRefusal,
    cause?: unknown,
  ) {
    super(cause instanceof Error ? { cause } : {}, 'peer did not relay: %s', reason);
    this.name = 'RelayRefusedError';
  }
}

/** What a peer has to know before it accepts an attempt. */
export interface IRelayOffer {
  /** The caller's identifier of the request, for logs. */
  readonly requestId: string;
  readonly targetId: string;
  /** The target's incarnation, see ITargetRecord. */
  readonly bornMs: number | undefined;
}

/** An attempt as it is sent to a peer. */
export interface IRelayedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  readonly targetTimeoutMs: number;
  readonly maxResponseBytes: number;
  readonly needsFreshConnection: boolean;
}

/** Sends attempts through peers. */
export abstract class RelayTransport {
  /**
   * Resolves with the target's complete response. Rejects with a RelayRefusedError if the peer certainly did
   * not send the request, and with a TransportError otherwise.
   */
  abstract send(
    peer: string,
    offer: IRelayOffer,
    request: ITargetRequest,
    options: ISendOptions,
  ): Promise<ITargetResponse>;
}
