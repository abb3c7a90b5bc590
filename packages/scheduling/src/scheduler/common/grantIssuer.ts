/** Issues grants: counts the slot, the retry and the share, and tells the requesting node. */
import type { Clock } from '@parsleymux/base';
import type { TargetState } from '../../capacity/common/targetState.js';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { OutcomeRecorder } from '../../health/common/outcomeRecorder.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { ReturnPlanner } from '../../returns/common/returnPlanner.js';
import type { OpenGrants } from './openGrants.js';
import type { ServiceModel } from './serviceModel.js';
import type { Ticket } from './ticket.js';

/** Above this used share of the retry allowance, no request reuses a connection that may be broken. */
const MAX_RETRIES_USED_FOR_REUSE = 0.5;

/** Options of a {@link GrantIssuer}. */
export interface IGrantIssuerOptions {
  readonly clock: Clock;
  readonly model: ServiceModel;
  readonly openGrants: OpenGrants;
  readonly outcomeRecorder: OutcomeRecorder;
  readonly quarantine: RequestQuarantine;
  readonly queue: RequestQueue<Ticket>;
  readonly returns: ReturnPlanner;
}

/**
 * Grants slots of targets to requests.
 *
 * @example
 * issuer.settle(ticket, target);
 */
export class GrantIssuer {
  constructor(private readonly options: IGrantIssuerOptions) {}

  settle(ticket: Ticket, target: TargetState): void {
    const { clock, model, openGrants, quarantine, queue, returns } = this.options;
    const { request } = ticket;
    const nowMs = clock.getMonotonicTime();
    const suspicion = target.health.getSuspicion(nowMs);
    if (request.isRetry) model.retries.recordRetry(nowMs);
    quarantine.recordGrant(request);
    target.rateLimit.recordGrant(nowMs);
    target.inUse += 1;
    target.granted += 1;
    target.lastGrantMs = nowMs;
    queue.recordGrant(ticket);
    returns.recordAccepted(request, nowMs);
    ticket.target = target;
    ticket.grantedMs = nowMs;
    ticket.concurrency = target.inUse;
    openGrants.add(ticket);
    const needsFreshConnection = this.isReuseRisky(request, nowMs);
    ticket.settle({ kind: 'granted', target: target.record, suspicion, needsFreshConnection });
  }

  /**
   * While idle connections break on reuse, only requests that could not be retried use new connections;
   * the others are retried. Opening connections is the largest cost of a busy fleet.
   */
  private isReuseRisky({ mayRetry }: IGrantRequest, nowMs: number): boolean {
    const { model, outcomeRecorder } = this.options;
    if (!outcomeRecorder.isReuseAvoided(nowMs)) return false;
    return !mayRetry || model.retries.getUsedShare(nowMs) > MAX_RETRIES_USED_FOR_REUSE;
  }
}
