/** The peer's side of relayed attempts: accepts them within a limit and sends them to their targets. */
import type { Clock, Logger } from '@parsleymux/base';
import type { ITargetResponse, TargetTransport } from '@parsleymux/routing';
import { TransportError, TransportFailure } from '@parsleymux/routing';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { formatIncarnation, hasCompleteResponse } from '@parsleymux/scheduling';
import type { ResponseCheck } from '../../entry/common/attemptOutcome.js';
import { decideResponseOutcome } from '../../entry/common/attemptOutcome.js';
import type { TargetNotices } from '../../entry/common/targetNotices.js';
import type { PathMonitor } from './pathMonitor.js';
import type { IRelayOffer, IRelayedRequest } from './relayTransport.js';
import { RelayRefusal, RelayRefusedError } from './relayTransport.js';

/** Attempts that a node relays at a time, so that its own callers are not delayed. */
const MAX_CONCURRENT_RELAYS = 64;

/** Options of a {@link RelayHandler}. */
export interface IRelayHandlerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly monitor: PathMonitor;
  readonly notices: TargetNotices;
  readonly transport: TargetTransport;
  readonly isAuthentic: ResponseCheck;
  readonly findTarget: (id: string) => ITargetRecord | undefined;
  readonly isStopping: () => boolean;
}

/**
 * Sends attempts for peers over this node's own connections, never through a further peer.
 *
 * @example
 * const refusal = handler.findRefusal(offer);
 * if (refusal === undefined) await handler.track(() => handler.send(peer, offer, request, signal));
 */
export class RelayHandler {
  /** Number of attempts that were accepted and have not ended. */
  running = 0;

  constructor(private readonly options: IRelayHandlerOptions) {}

  /** Why the attempt would not be sent; undefined if it would. */
  findRefusal(offer: IRelayOffer): RelayRefusal | undefined {
    if (this.options.isStopping()) return RelayRefusal.Stopping;
    if (this.running >= MAX_CONCURRENT_RELAYS) return RelayRefusal.Busy;
    return this.findTargetRefusal(offer);
  }

  private findTargetRefusal(offer: IRelayOffer): RelayRefusal | undefined {
    const { findTarget, monitor, notices } = this.options;
    const target = findTarget(offer.targetId);
    if (target === undefined || target.bornMs !== offer.bornMs) return RelayRefusal.UnknownTarget;
    if (target.isDraining || notices.isExcluded(target)) return RelayRefusal.ExcludedTarget;
    return monitor.hasPath(target) ? undefined : RelayRefusal.NoPath;
  }

  /** Counts an accepted attempt until `work` has ended. */
  async track<T>(work: () => Promise<T>): Promise<T> {
    this.running += 1;
    try {
      return await work();
    } finally {
      this.running -= 1;
    }
  }

  /** Rejects with a RelayRefusedError if the request was not sent, otherwise with a TransportError. */
  async send(
    peer: string,
    offer: IRelayOffer,
    request: IRelayedRequest,
    signal: AbortSignal,
  ): Promise<ITargetResponse> {
    const refusal = this.findTargetRefusal(offer);
    const target = this.options.findTarget(offer.targetId);
    if (refusal !== undefined || target === undefined) {
      throw new RelayRefusedError(refusal ?? RelayRefusal.UnknownTarget);
    }
    const { clock } = this.options;
    const startMs = clock.getMonotonicTime();
    let outcome = 'answered';
    try {
      return await this.sendToTarget(target, request, signal);
    } catch (error) {
      if (error instanceof RelayRefusedError) outcome = error.reason;
      if (error instanceof TransportError) outcome = error.failure;
      throw error;
    } finally {
      const ms = Math.round(clock.getMonotonicTime() - startMs);
      const { running } = this;
      this.options.log.info('relayed', {
        request: offer.requestId,
        entry: peer,
        target: target.id,
        outcome,
        ms,
        running,
      });
    }
  }

  private async sendToTarget(
    target: ITargetRecord,
    request: IRelayedRequest,
    signal: AbortSignal,
  ): Promise<ITargetResponse> {
    const { isAuthentic, monitor, notices, transport } = this.options;
    const { maxResponseBytes, needsFreshConnection: freshConnection } = request;
    try {
      const response = await transport.send(
        { ...request, target: target.address, member: formatIncarnation(target) },
        { signal, maxResponseBytes, freshConnection },
      );
      const { outcome } = decideResponseOutcome(response, isAuthentic);
      if (hasCompleteResponse(outcome)) notices.record(target, response);
      return response;
    } catch (error) {
      const isUnreachable =
        error instanceof TransportError && error.failure === TransportFailure.Connect;
      if (!isUnreachable || !(await monitor.verifyFailure(target))) throw error;
      throw new RelayRefusedError(RelayRefusal.NoPath, error);
    }
  }
}
