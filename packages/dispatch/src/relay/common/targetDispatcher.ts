/** Sends attempts to targets, directly or through a peer while this node has no path to them. */
import type { Clock } from '@parsleymux/base';
import type {
  ISendOptions,
  ITargetRequest,
  ITargetResponse,
  TargetTransport,
} from '@parsleymux/routing';
import { TransportError, TransportFailure } from '@parsleymux/routing';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { formatIncarnation } from '@parsleymux/scheduling';
import type { PathMonitor } from './pathMonitor.js';
import type { RelaySelector } from './relaySelector.js';
import type { RelayTransport } from './relayTransport.js';
import { RelayRefusal, RelayRefusedError } from './relayTransport.js';

/** Peers that are asked for one attempt: most refuse within a round trip. */
const MAX_PEERS_ASKED = 8;

/** The components that relaying needs. */
export interface IRelayComponents {
  readonly monitor: PathMonitor;
  readonly selector: RelaySelector;
  readonly transport: RelayTransport;
}

/** Options of a {@link TargetDispatcher}. */
export interface ITargetDispatcherOptions {
  readonly clock: Clock;
  readonly transport: TargetTransport;
  /** Default: attempts are only sent directly. */
  readonly relays?: IRelayComponents | undefined;
}

/** Options of {@link TargetDispatcher.send}. */
export interface IDispatchOptions extends ISendOptions {
  /** The caller's identifier of the request, for logs. */
  readonly requestId: string;
  readonly isIdempotent: boolean;
  /** Whether a peer is tried first, because connections of this node have failed. */
  readonly prefersPeer: boolean;
  /** Time without any response after which the path is checked, in ms. */
  readonly silenceMs: number;
  /** Called once if the path is lost while the target is silent; its response may still arrive. */
  readonly onPathFault?: () => void;
  /** Called before a peer is asked to send the attempt; the last one called may have sent it. */
  readonly onRelay?: (peer: string) => void;
}

/**
 * Sends each attempt to the granted target only, so that relaying needs no further grant.
 *
 * @example
 * const response = await dispatcher.send(target, request, options);
 */
export class TargetDispatcher {
  private lastResponseMs = -Infinity;

  constructor(private readonly options: ITargetDispatcherOptions) {}

  hasIdleConnection(target: ITargetRecord): boolean {
    const isReachable = this.options.relays?.monitor.hasPath(target) ?? true;
    const { transport } = this.options;
    return isReachable && transport.hasIdleConnection(formatIncarnation(target), target.address);
  }

  /** Whether this node's path is lost, or was lost since `startMs` of the monotonic clock. */
  hasLostPathSince(startMs: number): boolean {
    return this.options.relays?.monitor.hasLostPathSince(startMs) === true;
  }

  /** Resolves with a complete response; rejects with a TransportError. */
  async send(
    target: ITargetRecord,
    request: ITargetRequest,
    options: IDispatchOptions,
  ): Promise<ITargetResponse> {
    const { clock, relays } = this.options;
    if (relays === undefined) return this.options.transport.send(request, options);
    const endMs = clock.getMonotonicTime() + request.timeoutMs;
    if (!relays.monitor.hasPath(target)) return this.sendByPeer(target, request, options, endMs);
    if (options.prefersPeer && !options.signal.aborted) {
      try {
        return await this.sendByPeer(target, request, options, endMs);
      } catch (error) {
        if (!isNoPath(error)) throw error;
      }
    }
    try {
      return await this.sendDirectly(target, request, options, relays);
    } catch (error) {
      const isUnreachable =
        error instanceof TransportError && error.failure === TransportFailure.Connect;
      if (!isUnreachable || !(await relays.monitor.verifyFailure(target))) throw error;
      return this.sendByPeer(target, request, options, endMs);
    }
  }

  private async sendDirectly(
    target: ITargetRecord,
    request: ITargetRequest,
    options: IDispatchOptions,
    { monitor }: IRelayComponents,
  ): Promise<ITargetResponse> {
    const { clock, transport } = this.options;
    const startMs = clock.getMonotonicTime();
    let isPending = true;
    const timer = clock.startTimer(options.silenceMs, () => {
      if (this.lastResponseMs >= startMs) return;
      void monitor.checkSilence(target).then((isLost) => {
        if (isLost && isPending) options.onPathFault?.();
      });
    });
    // A request that can't be sent again must not be the one that finds out whether a connection hangs.
    const mustBeFresh = !options.isIdempotent && monitor.isInDoubt;
    const freshConnection = options.freshConnection === true || mustBeFresh;
    try {
      const response = await transport.send(request, { ...options, freshConnection });
      this.lastResponseMs = clock.getMonotonicTime();
      return response;
    } finally {
      isPending = false;
      void timer.dispose();
    }
  }

  private async sendByPeer(
    target: ITargetRecord,
    request: ITargetRequest,
    options: IDispatchOptions,
    endMs: number,
  ): Promise<ITargetResponse> {
    const { clock, relays } = this.options;
    const asked = new Set<string>();
    const offer = { requestId: options.requestId, targetId: target.id, bornMs: target.bornMs };
    while (relays !== undefined && asked.size < MAX_PEERS_ASKED && !options.signal.aborted) {
      const peer = relays.selector.pick(asked);
      const remainingMs = endMs - clock.getMonotonicTime();
      if (peer === undefined) break;
      if (remainingMs <= 0) throw makeUnsentError(TransportFailure.Timeout);
      asked.add(peer.address);
      options.onRelay?.(peer.address);
      const marginMs = request.timeoutMs - (request.targetTimeoutMs ?? request.timeoutMs);
      const targetTimeoutMs = Math.max(1, remainingMs - marginMs);
      const remaining = { ...request, timeoutMs: remainingMs, targetTimeoutMs };
      try {
        const response = await relays.transport.send(peer.stateAddress, offer, remaining, options);
        relays.selector.recordServed(peer);
        return response;
      } catch (error) {
        if (!(error instanceof RelayRefusedError)) throw error;
        relays.selector.recordRefusal(peer, error.reason);
        if (error.reason !== RelayRefusal.ExcludedTarget) continue;
        throw makeUnsentError(TransportFailure.NoConnection, error);
      }
    }
    const isCancelled = options.signal.aborted;
    throw makeUnsentError(isCancelled ? TransportFailure.Cancelled : TransportFailure.NoPath);
  }
}

function isNoPath(error: unknown): boolean {
  return error instanceof TransportError && error.failure === TransportFailure.NoPath;
}

function makeUnsentError(failure: TransportFailure, cause?: unknown): TransportError {
  return new TransportError({ failure, mayHaveRun: false, reusedConnection: false, cause });
}
