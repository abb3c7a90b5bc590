/** The entry's choice of a home for each request, and its way on when a home does not answer. */
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
/** Tries of one peer: the second, on new connections, tells a lost connection from a lost peer. */
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
  /** Whether this node is on its way out of the fleet. */
  readonly isLeaving: () => boolean;
  /** Whether word of the configuration is late here. */
  readonly isStale: () => boolean;
  /** Called for each exchange with a home, for metrics. */
  readonly onDidTry?: (outcome: HopFailure | 'answered' | 'local') => void;
}

/**
 * Serves requests through their home.
 *
 * @example
 * const answer = await router.serve(request, signal);
 */
export class HomeRouter {
  private readonly options: IHomeRouterOptions;

  constructor(options: IHomeRouterOptions) {
    this.options = options;
  }

  /**
   * Goes through the candidates in their order, the last being this node itself. Trying another
   * home is safe: reads may run twice, and everything else is claimed before it is dispatched.
   */
  async serve(request: IRoutedRequest, signal: AbortSignal): Promise<IResponse> {
    let mayHaveReached = false;
    for (const candidate of this.listCandidates(request)) {
      if (candidate === this.options.self) {
        if (!this.options.isLeaving() && !this.options.isStale()) break;
        // The other entries have gone on to the next candidate; serving here as well would make
        // two homes that each count only their own share of the targets' slots.
        continue;
      }
      const outcome = await this.tryPeer(candidate, request, signal, mayHaveReached);
      if (!(outcome instanceof HopError)) return outcome;
      mayHaveReached ||= outcome.hasPossiblyReached();
    }
    this.options.onDidTry?.('local');
    return this.serveHere(request, signal, mayHaveReached);
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
    hasReachedOther: boolean,
  ): Promise<IResponse | HopError> {
    let mayHaveReached = hasReachedOther;
    let last: HopError | undefined;
    for (let attempt = 0; attempt < TRIES_PER_PEER; attempt += 1) {
      const outcome = await this.tryOnce(peer, request, signal, mayHaveReached);
      if (!(outcome instanceof HopError)) return outcome;
      last = outcome;
      mayHaveReached ||= outcome.hasPossiblyReached();
      if (outcome.failure !== HopFailure.Lost) break;
      this.options.hop.retireConnections(peer);
    }
    // Errors cost a stack trace each: none is made for the usual request that is answered.
    last ??= new HopError(HopFailure.NotDelivered, 'peer not tried');
    this.recordOutcome(peer, last);
    return mayHaveReached ? new HopError(HopFailure.Lost, last.message, last) : last;
  }

  private async tryOnce(
    peer: string,
    request: IRoutedRequest,
    signal: AbortSignal,
    mayHaveReached: boolean,
  ): Promise<IResponse | HopError> {
    try {
      const memberRevision = this.getMemberRevision(request.member);
      const answer = await this.options.hop.send(peer, { request, memberRevision }, signal);
      this.options.membership.recordContact(peer);
      this.options.onDidTry?.('answered');
      return answer;
    } catch (error) {
      if (error instanceof HopError) {
        this.options.onDidTry?.(error.failure);
        return error;
      }
      if (error instanceof MuxError) {
        this.options.membership.recordContact(peer);
        this.options.onDidTry?.('answered');
        throw withPossibleReach(error, mayHaveReached);
      }
      throw error;
    }
  }

  private recordOutcome(peer: string, error: HopError): void {
    if (error.failure === HopFailure.Leaving) this.options.membership.recordShutdown(peer);
    else if (error.failure === HopFailure.Behind) this.options.membership.recordContact(peer);
    else this.options.membership.recordFailure(peer);
  }

  private async serveHere(
    request: IRoutedRequest,
    signal: AbortSignal,
    mayHaveReached: boolean,
  ): Promise<IResponse> {
    try {
      return await this.options.home.handle(request, signal);
    } catch (error) {
      throw error instanceof MuxError ? withPossibleReach(error, mayHaveReached) : error;
    }
  }

  private getMemberRevision(member: string): number {
    const config = this.options.config.getCurrent().members.get(member);
    return Number(config?.memberRevision ?? 0);
  }
}

/**
 * A home that fell silent may still hold the request and run it later. A refusal "not run" by
 * the next home would then be false; the caller would learn of it only from a second booking.
 */
function withPossibleReach(error: MuxError, mayHaveReached: boolean): MuxError {
  return mayHaveReached ? error.toMayHaveRun() : error;
}
