/** The home's log lines: refusals, and changes of what it believes of a target. */
import type { Clock, Logger, ResultCode } from '@parsleymux/base';
import { getResultInfo } from '@parsleymux/base';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { IQuotaFacts } from '../../quotas/common/tenantQuotas.js';
import type { TargetState } from './targetState.js';

const SHARE_PLACES = 1000;

/** Options of a {@link ServiceLog}. */
export interface IServiceLogOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The request that a line speaks of. */
export interface ILoggedTicket {
  readonly request: IGrantRequest;
  /** Node that asked. */
  readonly node: string;
  readonly requestedMs: number;
}

/** What a refusal rests on. */
export interface IRefusalFacts {
  readonly code: ResultCode;
  readonly retryAfterMs: number;
  readonly queue: number;
  /** Share of the retry allowance that is used up. */
  readonly retriesUsed: number;
  /** Retries that other homes counted within the window. */
  readonly retriesElsewhere: number;
  /** What a refusal by quota rests on. */
  readonly quota?: IQuotaFacts | undefined;
}

/** What a home goes by that takes over. */
export interface ITakeoverFacts {
  /** Whether it knows of all retries that were sent before it. */
  readonly knowsRetries: boolean;
  readonly retriesElsewhere: number;
  readonly targets: number;
}

/**
 * Writes lines that carry the request's identifier, so that they can be found from a complaint.
 *
 * @example
 * serviceLog.watchBelief(ticket, target, 'failed', () => target.health.recordFailure(now));
 */
export class ServiceLog {
  constructor(private readonly options: IServiceLogOptions) {}

  /** Makes a change and writes a line if the target is doubted, or trusted again, because of it. */
  trackHealthChange(
    ticket: ILoggedTicket,
    target: TargetState,
    cause: string,
    change: () => void,
  ): void {
    const { health } = target;
    const nowMs = this.options.clock.getMonotonicTime();
    const before = health.getSuspicion(nowMs);
    const wasFailing = health.isFailing(nowMs);
    const { lastSuccessMs } = health;
    change();
    if (health.isFailing(nowMs) === wasFailing) return;
    this.options.log.info(wasFailing ? 'target trusted' : 'target doubted', {
      request: ticket.request.requestId,
      entry: ticket.node,
      service: this.options.service,
      target: target.record.id,
      cause,
      suspicionBefore: toPlaces(before),
      suspicion: toPlaces(health.getSuspicion(nowMs)),
      lastSuccessAgeMs: lastSuccessMs === undefined ? null : Math.round(nowMs - lastSuccessMs),
    });
  }

  logDraining({ node, request }: ILoggedTicket, target: TargetState): void {
    this.options.log.info('target says that it leaves', {
      request: request.requestId,
      entry: node,
      service: this.options.service,
      target: target.record.id,
      isListedAsDraining: target.record.isDraining,
    });
  }

  /** The target names another limit than `before`, or none any more. */
  logLimit(
    { node, request }: ILoggedTicket,
    target: TargetState,
    before: number | undefined,
  ): void {
    this.options.log.info('target changes its limit', {
      request: request.requestId,
      entry: node,
      service: this.options.service,
      target: target.record.id,
      ratePerS: target.rateLimit.ratePerS ?? null,
      before: before ?? null,
    });
  }

  /** Retries and grants of one moment that several homes gave are found by these lines. */
  logTakeover(facts: ITakeoverFacts): void {
    this.options.log.info('home takes over', { service: this.options.service, ...facts });
  }

  logRefusal(
    ticket: ILoggedTicket,
    targets: readonly TargetState[],
    { code, queue, quota, retriesElsewhere, retriesUsed, retryAfterMs }: IRefusalFacts,
  ): void {
    const { request } = ticket;
    const nowMs = this.options.clock.getMonotonicTime();
    const waitedMs = nowMs - ticket.requestedMs;
    const ready = targets.filter(({ isReady }) => isReady);
    this.options.log.warn('grant refused', {
      request: request.requestId,
      entry: ticket.node,
      service: this.options.service,
      result: getResultInfo(code).name,
      attempt: request.attempt,
      isHedge: request.isHedge,
      waitedMs: Math.round(waitedMs),
      remainingMs: Math.round(request.remainingMs - waitedMs),
      retryAfterMs,
      queue,
      targets: targets.length,
      ready: ready.length,
      limited: ready.filter(({ rateLimit }) => rateLimit.ratePerS !== undefined).length,
      free: ready.filter((target) => target.hasFreeSlot(nowMs)).length,
      retriesUsed: toPlaces(retriesUsed),
      retriesElsewhere,
      ...(quota === undefined ? {} : { quota }),
    });
  }
}

/** Shares in logs, to three places. */
function toPlaces(share: number): number {
  return Math.round(share * SHARE_PLACES) / SHARE_PLACES;
}
