/** Log lines of a home: rejections, and changes of a target's health status and notices. */
import type { Clock, Logger, ResultCode } from '@parsleymux/base';
import { getResultInfo } from '@parsleymux/base';
import type { IFairnessFacts } from '../../fairness/common/requestQueue.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { IQuotaFacts } from '../../quotas/common/tenantQuotas.js';
import type { IReturnFacts } from '../../returns/common/plannedReturn.js';
import type { TargetState } from '../../capacity/common/targetState.js';
import { REJECTIONS_WINDOW_MS } from '../../retries/common/rejectionCounts.js';
import type { IServiceRejections } from '../../retries/common/serviceRejections.js';

const SHARE_PLACES = 1000;

/** Options of a {@link ServiceLog}. */
export interface IServiceLogOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The request to which a log line refers. */
export interface ILoggedTicket {
  readonly request: IGrantRequest;
  /** Node that requested the grant. */
  readonly node: string;
  readonly requestedMs: number;
}

/** Facts behind a rejection. */
export interface IRefusalFacts {
  readonly code: ResultCode;
  readonly retryAfterMs: number;
  /** Number of queued requests. */
  readonly queue: number;
  /** Used share of the retry allowance, from 0 to 1. */
  readonly retriesUsed: number;
  /** Retries of other homes within the window. */
  readonly retriesElsewhere: number;
  /** The quota state, if the tenant's quota caused the rejection. */
  readonly quota?: IQuotaFacts | undefined;
  /** The tenant's share, if the queue is divided between tenants. */
  readonly share?: IFairnessFacts | undefined;
  /** The reservation behind the Retry-After, if there are reservations. */
  readonly place?: IReturnFacts | undefined;
}

/** The state of a home that takes over. */
export interface ITakeoverFacts {
  /** Whether it knows all retries that were sent before. */
  readonly knowsRetries: boolean;
  readonly retriesElsewhere: number;
  readonly targets: number;
}

/**
 * Writes lines with the request's identifier, so that they can be found from a caller's complaint.
 *
 * @example
 * serviceLog.trackHealthChange(ticket, target, 'failed', () => health.recordFailure(now));
 */
export class ServiceLog {
  constructor(private readonly options: IServiceLogOptions) {}

  /** Runs `change` and logs if the target becomes suspected or is cleared as a result. */
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

  /** Logs that a target advertises a limit other than `before`, or none any more. */
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

  /** Logs a takeover, which helps to find grants and retries that several homes gave concurrently. */
  logTakeover(facts: ITakeoverFacts): void {
    this.options.log.info('home takes over', { service: this.options.service, ...facts });
  }

  /** Logs that the service enters or leaves the state in which it rejects regardless of load. */
  logRejections({ isRejecting, rejectedShare, requests }: IServiceRejections): void {
    this.options.log.info(
      isRejecting ? 'service rejects regardless of load' : 'service accepts again',
      {
        service: this.options.service,
        acceptedShare: toPlaces(1 - rejectedShare),
        requests: Math.round(requests),
        windowMs: REJECTIONS_WINDOW_MS,
      },
    );
  }

  logRefusal(
    ticket: ILoggedTicket,
    targets: readonly TargetState[],
    {
      code,
      queue,
      quota,
      share,
      retriesElsewhere,
      retriesUsed,
      retryAfterMs,
      place,
    }: IRefusalFacts,
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
      ...(share === undefined ? {} : { share }),
      ...(place === undefined ? {} : { place }),
    });
  }
}

/** Rounds a share to three decimal places. */
function toPlaces(share: number): number {
  return Math.round(share * SHARE_PLACES) / SHARE_PLACES;
}
