/** Refuses requests at the home of a service. */
import type { Clock, Logger } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { GrantPolicy, IServiceState } from '../../admission/common/grantPolicy.js';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { IQuotaFacts } from '../../quotas/common/tenantQuotas.js';
import type { IPlannedReturn, IReturnFacts } from '../../returns/common/plannedReturn.js';
import type { ReturnPlanner } from '../../returns/common/returnPlanner.js';
import { FairRefusalLog } from './fairRefusalLog.js';
import type { QuotaTokens } from './quotaTokens.js';
import { findReplaceable, isLateForShare } from './requestQueues.js';
import type { ServiceLog } from './serviceLog.js';
import type { ServiceModel } from './serviceModel.js';
import type { Ticket } from './ticket.js';
import { makeRanking } from './ticketRanking.js';

/** Rejections that are caused by the caller and are no evidence of a failing service. */
const CALLER_REFUSALS: ReadonlySet<ResultCode> = new Set([
  ResultCode.RequestQuarantined,
  ResultCode.UnknownKey,
  ResultCode.QuotaExceeded,
]);

/** Options of {@link Refusals}. */
export interface IRefusalsOptions {
  readonly service: string;
  readonly log: Logger;
  readonly clock: Clock;
  readonly model: ServiceModel;
  readonly queue: RequestQueue<Ticket>;
  readonly policy: GrantPolicy;
  readonly quarantine: RequestQuarantine;
  readonly returns: ReturnPlanner;
  readonly serviceLog: ServiceLog;
  readonly tokens: QuotaTokens;
}

/** Facts about a refusal that its caller knows; the others are computed. */
export interface IKnownRefusalFacts {
  readonly retryAfterMs?: number | undefined;
  readonly quota?: IQuotaFacts | undefined;
  /** The request of another tenant in whose favour the request is refused. */
  readonly favoured?: Ticket | undefined;
  readonly place?: IReturnFacts | undefined;
}

/**
 * Settles refused requests: counts them as failures of the service unless their callers caused the refusal,
 * logs them and tells their callers when to return.
 *
 * @example
 * refusals.refuse(ticket, ResultCode.QueueTimeout);
 */
export class Refusals {
  /** Requests that were refused in favour of another tenant's. */
  readonly fairRefusals: FairRefusalLog;

  constructor(private readonly options: IRefusalsOptions) {
    this.fairRefusals = new FairRefusalLog(options);
  }

  /** Refuses the request, or a queued one of another tenant in its place; returns false in that case. */
  refuseOrReplace(ticket: Ticket, code: ResultCode): boolean {
    const { model, policy, queue } = this.options;
    const favoured = queue.findOvertaking(ticket);
    const isReplacing = favoured === undefined && code === ResultCode.QueueFull;
    const victim = isReplacing ? findReplaceable(ticket, queue, policy, model) : undefined;
    if (victim === undefined) {
      this.refuse(ticket, code, { favoured });
      return true;
    }
    queue.remove(victim);
    this.refuse(victim, code, { favoured: ticket });
    return false;
  }

  /** Refuses a new request that would be late for its tenant's share; returns whether it was refused. */
  refuseLate(ticket: Ticket, ahead: number, state: IServiceState): boolean {
    const { policy, queue } = this.options;
    if (!isLateForShare({ ticket, ahead, queue, policy }, state)) return false;
    this.refuse(ticket, ResultCode.QueueFull);
    return true;
  }

  refuse(ticket: Ticket, code: ResultCode, known: IKnownRefusalFacts = {}): void {
    const { clock, model, queue, serviceLog, tokens } = this.options;
    tokens.release(ticket, undefined);
    const nowMs = clock.getMonotonicTime();
    const { retryAfterMs: knownMs } = known;
    const { place = known.place, retryAfterMs } =
      knownMs === undefined ? this.planReturn(ticket, code) : { retryAfterMs: knownMs };
    // The original request of a refused hedge is still running. If refused hedges were counted as failed
    // requests, they would cause requests to be spread over suspected targets.
    const isCounted = !ticket.request.isHedge && !CALLER_REFUSALS.has(code);
    if (isCounted) model.outcomeWindow.record(false, nowMs);
    serviceLog.logRefusal(ticket, model.targets.list(), {
      code,
      retryAfterMs,
      queue: queue.size,
      quota: known.quota,
      share: code === ResultCode.QueueFull ? queue.describeShare(ticket) : undefined,
      place,
      retriesUsed: model.retries.getUsedShare(nowMs),
      retriesElsewhere: model.retries.countPeerRetries(nowMs),
    });
    if (known.favoured !== undefined) this.fairRefusals.record(ticket, known.favoured);
    ticket.settle({ kind: 'refused', code, retryAfterMs });
  }

  /** Plans the return of a caller whose Retry-After is not known yet. */
  private planReturn(ticket: Ticket, code: ResultCode): IPlannedReturn {
    const { model, policy, quarantine, queue, returns } = this.options;
    const { request } = ticket;
    if (code === ResultCode.RequestQuarantined) {
      return { retryAfterMs: Math.ceil(quarantine.getHoldMs(request.fingerprints)) };
    }
    const state = model.getState(queue.size);
    const ahead = queue.countAhead(ticket, makeRanking(policy, state, queue));
    const expectedWaitMs = policy.estimateWaitMs(request, ahead, state);
    const waitedMs = ticket.getWaitedMs(state.nowMs);
    const slotMs = policy.estimateWaitMs(request, 0, state);
    return returns.planReturn({ request, code, waitedMs, expectedWaitMs, slotMs }, state);
  }
}
