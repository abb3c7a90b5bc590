/** Chooses a home for each request at the entry, and the next candidate when a home does not respond. */
import type { Clock } from '@parsleymux/base';
import { MuxError } from '@parsleymux/base';
import type { ConfigService } from '@parsleymux/config';
import type { MembershipService, Placement } from '@parsleymux/fleet';
import type { HomeService, IResponse, IRoutedRequest } from '@parsleymux/routing';
import { HopError, HopFailure } from '../../hop/common/hopError.js';
import type { HopTransport } from '../../hop/common/hopTransport.js';
import { describeShard } from './shards.js';

/** Homes that are tried before this node serves the request itself. */
const MAX_CANDIDATES = 3;
/** Tries of one peer. The second uses new connections, to distinguish a lost connection from a lost peer. */
const TRIES_PER_PEER = 2;

/** Options of a {@link HomeRouter}. */
export interface IHomeRouterOptions {
  readonly clock: Clock;
  readonly config: ConfigService;
  readonly membership: MembershipService;
  readonly placement: Placement;
  readonly hop: HopTransport;
  readonly home: HomeService;
  /** Peer address of this node. */
  readonly self: string;
  /** Whether this node is shutting down. */
  readonly isShuttingDown: () => boolean;
  /** Whether the configuration of this node may be out of date. */
  readonly isStale: () => boolean;
  /** Called after each exchange with a home, for metrics. */
  readonly onDidTry?: (outcome: HopFailure | 'answered' | 'local') => void;
}

/**
 * Forwards requests to their homes.
 *
 * @example
 * const response = await router.serve(request, signal);
 */
export class HomeRouter {
  private readonly options: IHomeRouterOptions;

  constructor(options: IHomeRouterOptions) {
    this.options = options;
  }

  /**
   * Tries the candidates in their order, and this node itself last. Trying another home is safe:
   * idempotent requests may run twice, and all others are claimed before they are dispatched.
   */
  async serve(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse> {
    let isPossiblyDelivered = false;
    for (const candidate of this.listCandidates(request)) {
      if (candidate === this.options.self) {
        if (!this.options.isShuttingDown() && !this.options.isStale()) break;
        // The other entries already use the next candidate. Serving locally as well would create two
        // homes that each count only their own part of the targets' slots in use.
        continue;
      }
      const outcome = await this.tryPeer(candidate, request, signal, isPossiblyDelivered);
      if (!(outcome instanceof HopError)) return outcome;
      isPossiblyDelivered ||= outcome.isPossiblyDelivered();
    }
    this.options.onDidTry?.('local');
    return this.serveLocally(request, signal, isPossiblyDelivered);
  }

  private listCandidates(request: IRoutedRequest): readonly string[] {
    const config = this.options.config.getCurrent().members.get(request.member);
    const service = config?.intent?.services.find(({ name }) => name === request.route.service);
    if (service === undefined) return [];
    const shard = describeShard(request.member, service);
    return this.options.placement.rank(shard, MAX_CANDIDATES).map(({ address }) => address);
  }

  private async tryPeer(
    peer: string,
    request: IRoutedRequest,
    signal: AbortSignal,
    isPossiblyDeliveredBefore: boolean,
  ): Promise<IResponse | HopError> {
    let isPossiblyDelivered = isPossiblyDeliveredBefore;
    let last: HopError | undefined;
    for (let attempt = 0; attempt < TRIES_PER_PEER; attempt += 1) {
      const outcome = await this.tryOnce(peer, request, signal, isPossiblyDelivered);
      if (!(outcome instanceof HopError)) return outcome;
      last = outcome;
      isPossiblyDelivered ||= outcome.isPossiblyDelivered();
      if (outcome.failure !== HopFailure.Lost) break;
      this.options.hop.retireConnections(peer);
    }
    // Each error captures a stack trace, so none is created for a request that succeeds.
    last ??= new HopError(HopFailure.NotDelivered, 'peer not tried');
    this.recordOutcome(peer, last);
    return isPossiblyDelivered ? new HopError(HopFailure.Lost, last.message, last) : last;
  }

  private async tryOnce(
    peer: string,
    request: IRoutedRequest,
    signal: AbortSignal,
    isPossiblyDelivered: boolean,
  ): Promise<IResponse | HopError> {
    try {
      const memberRevision = this.getMemberRevision(request.member);
      const response = await this.options.hop.send(peer, { request, memberRevision }, signal);
      this.options.membership.recordContact(peer);
      this.options.onDidTry?.('answered');
      return response;
    } catch (error) {
      if (error instanceof HopError) {
        this.options.onDidTry?.(error.failure);
        return error;
      }
      if (error instanceof MuxError) {
        this.options.membership.recordContact(peer);
        this.options.onDidTry?.('answered');
        throw withPossibleDelivery(error, isPossiblyDelivered);
      }
      throw error;
    }
  }

  private recordOutcome(peer: string, error: HopError): void {
    if (error.failure === HopFailure.ShuttingDown) this.options.membership.recordShutdown(peer);
    else if (error.failure === HopFailure.Behind) this.options.membership.recordContact(peer);
    else this.options.membership.recordFailure(peer);
  }

  private async serveLocally(
    request: IRoutedRequest,
    signal: AbortSignal,
    isPossiblyDelivered: boolean,
  ): Promise<IResponse> {
    try {
      return await this.options.home.handle(request, signal);
    } catch (error) {
      throw error instanceof MuxError ? withPossibleDelivery(error, isPossiblyDelivered) : error;
    }
  }

  private getMemberRevision(member: string): number {
    const config = this.options.config.getCurrent().members.get(member);
    return Number(config?.memberRevision ?? 0);
  }
}

/**
 * A home that stopped responding may still have the request and run it later. A "not run" refusal by
 * the next home would then be false, and a retry of the caller could cause a duplicate execution.
 */
function withPossibleDelivery(error: MuxError, isPossiblyDelivered: boolean): MuxError {
  return isPossiblyDelivered ? error.toMayHaveRun() : error;
}
