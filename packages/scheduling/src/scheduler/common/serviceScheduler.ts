/** Schedules the requests of one service at its home: grants slots, queues requests and applies reports. */
import type { Clock, Logger } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import { ExpectedCreditPolicy } from '../../admission/common/expectedCreditPolicy.js';
import type { GrantPolicy, IServiceState } from '../../admission/common/grantPolicy.js';
import { hasFreeTarget } from '../../admission/common/grantPolicy.js';
import type { ServiceSpeeds } from '../../capacity/common/serviceSpeeds.js';
import { TargetNoticeRecorder } from '../../capacity/common/targetNoticeRecorder.js';
import type { TargetState } from '../../capacity/common/targetState.js';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { RequestQueue } from '../../fairness/common/requestQueue.js';
import type { GrantDecision, IGrantRequest, IReportedResponse } from '../../grants/common/grant.js';
import { GrantOutcome, NO_RESPONSE } from '../../grants/common/grant.js';
import { OutcomeRecorder } from '../../health/common/outcomeRecorder.js';
import type { IHealthEvidence } from '../../health/common/targetHealthEstimate.js';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';
import type { RequestAdmission } from '../../quotas/common/requestAdmission.js';
import type { RetryWindow } from '../../retries/common/retryWindow.js';
import { RejectionControl } from '../../retries/common/rejectionControl.js';
import { ReservationPlanner } from '../../returns/common/reservationPlanner.js';
import { GrantIssuer } from './grantIssuer.js';
import { HomeActivity } from './homeActivity.js';
import { OpenGrants } from './openGrants.js';
import { QueueAdmission } from './queueAdmission.js';
import { QuotaTokens } from './quotaTokens.js';
import { Refusals } from './refusals.js';
import { createRequestQueue } from './requestQueues.js';
import { findRefusal } from './refusalCheck.js';
import { ServiceLog } from './serviceLog.js';
import type { IServiceBounds } from './serviceModel.js';
import { ServiceModel } from './serviceModel.js';
import type { ITicket } from './ticket.js';
import { Ticket } from './ticket.js';
import { hasTurn, isTooLate, makeRanking } from './ticketRanking.js';

/** Maximum number of queued requests that a pass for one released slot leaves waiting. */
const MAX_SKIPPED = 16;

/** Options of a {@link ServiceScheduler}. */
export interface IServiceSchedulerOptions extends IServiceBounds {
  readonly service: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Shared by all services, because a request may be routed to several of them. */
  readonly quarantine: RequestQuarantine;
  /** Shared by all services; undefined if requests are not assigned to tenants. */
  readonly admission?: RequestAdmission | undefined;
  /** Called at each grant request, before any decision on it. */
  readonly onWillDecide?: () => void;
  /** Default: an {@link ExpectedCreditPolicy}. */
  readonly policy?: GrantPolicy;
}

/**
 * Grants the slots of one service's targets. While its home is running, all grants of a service are
 * made by one scheduler, so a slot is never granted twice and a failure that one node reports
 * immediately affects the grants of all nodes.
 *
 * @example
 * const ticket = scheduler.requestGrant(request, node, (decision) => send(decision));
 * scheduler.recordOutcome(ticket, GrantOutcome.Succeeded, 240);
 */
export class ServiceScheduler {
  /** Records the drain notices and rate limits that targets send in responses. */
  readonly notices: TargetNoticeRecorder;
  /** Plans the returns of refused callers. */
  readonly returns: ReservationPlanner;
  /** Undefined if that part is not enabled. */
  readonly rejections: RejectionControl | undefined;
  private readonly serviceLog: ServiceLog;
  private readonly clock: Clock;
  private readonly model: ServiceModel;
  /** Requests that wait for a slot; also holds the shares of tenants. */
  readonly queue: RequestQueue<Ticket>;
  private readonly openGrants: OpenGrants;
  private readonly outcomeRecorder: OutcomeRecorder;
  private readonly policy: GrantPolicy;
  private readonly queueAdmission: QueueAdmission;
  private readonly quarantine: RequestQuarantine;
  private readonly tokens: QuotaTokens;
  private readonly refusals: Refusals;
  private readonly issuer: GrantIssuer;
  private readonly activity: HomeActivity;

  constructor(options: IServiceSchedulerOptions) {
    const { clock, quarantine } = options;
    this.clock = clock;
    this.quarantine = quarantine;
    this.tokens = new QuotaTokens(options.admission);
    this.model = new ServiceModel(options);
    this.queue = createRequestQueue(options, this.model);
    this.serviceLog = new ServiceLog(options);
    this.rejections = RejectionControl.create(options, this.model, this.serviceLog);
    const refusesUnrunRetries = this.rejections !== undefined;
    this.policy = options.policy ?? new ExpectedCreditPolicy({ refusesUnrunRetries });
    const { model, policy, queue, serviceLog, tokens } = this;
    const { outcomeWindow, processingTimes, responseSizes, speeds, targets } = model;
    this.activity = new HomeActivity({ ...options, model, serviceLog });
    this.notices = new TargetNoticeRecorder({ clock, targets, serviceLog });
    this.outcomeRecorder = new OutcomeRecorder({
      clock,
      outcomeWindow,
      processingTimes,
      quarantine,
      rejections: this.rejections?.model,
      responseSizes,
      serviceLog,
      speeds,
    });
    this.queueAdmission = new QueueAdmission({ policy, queue });
    this.openGrants = new OpenGrants(this.outcomeRecorder, speeds);
    this.returns = new ReservationPlanner({ isEnabled: () => model.scheduling.returns.isEnabled });
    const { returns } = this;
    this.refusals = new Refusals({ ...options, model, policy, queue, returns, serviceLog, tokens });
    const { openGrants, outcomeRecorder } = this;
    this.issuer = new GrantIssuer({
      clock,
      model,
      openGrants,
      outcomeRecorder,
      quarantine,
      queue,
      returns,
    });
  }

  /** Retries of the whole fleet, as far as they have been reported to this home. */
  get retries(): RetryWindow {
    return this.model.retries;
  }

  /** Replaces the list of targets. */
  setTargets(records: readonly ITargetRecord[]): void {
    this.model.targets.set(records);
    this.rejections?.model.setTargets(this.listTargets());
    this.serveQueue();
  }

  /** Changes the limits. Requests and retries counted before the change remain counted. */
  setBounds(bounds: IServiceBounds): void {
    this.model.setBounds(bounds);
  }

  /** Decides immediately or queues the request. Calls `respond` exactly once, possibly before returning. */
  requestGrant(
    request: IGrantRequest,
    node: string,
    respond: (decision: GrantDecision) => void,
  ): ITicket {
    const nowMs = this.clock.getMonotonicTime();
    const ticket = new Ticket(request, node, nowMs, respond);
    this.activity.recordRequest();
    this.notices.applyAdvertisedLimits(request.limits);
    if (!request.isRetry && !request.isRepeated) this.retries.recordRequest(nowMs);
    const admitted = this.tokens.check(request, node);
    if (admitted?.kind === 'refused') {
      const { code, place, quota, retryAfterMs = 0 } = admitted;
      this.refusals.refuse(ticket, code, { place, quota, retryAfterMs });
      return ticket;
    }
    ticket.token = admitted?.token;
    ticket.tenant = admitted?.tenant;
    ticket.isReturnDue = this.returns.isDue(request, nowMs);
    const refusal = findRefusal(ticket, this, this.model, nowMs);
    if (refusal !== undefined) this.refusals.refuse(ticket, refusal);
    else this.handleNew(ticket);
    return ticket;
  }

  private handleNew(ticket: Ticket): void {
    const state = this.getState();
    const promised = ticket.isReturnDue ? 0 : this.returns.countPromised(state.nowMs);
    const queued = this.queue.countAhead(ticket, makeRanking(this.policy, state, this.queue));
    this.queueAdmission.recordArrival(ticket, state);
    if (this.settle(ticket, promised + queued, state)) return;
    const isAdmitted = this.queueAdmission.isAdmitted(ticket, { promised, queued }, state);
    if (!isAdmitted && this.refusals.refuseOrReplace(ticket, ResultCode.QueueFull)) return;
    this.returns.recordAccepted(ticket.request, state.nowMs);
    this.queue.push(ticket);
  }

  /** Records the outcome of a grant, or removes a request that is still queued. */
  recordOutcome(
    ticket: ITicket,
    outcome: GrantOutcome,
    latencyMs: number,
    response: IReportedResponse = NO_RESPONSE,
  ): void {
    if (!(ticket instanceof Ticket)) return;
    this.queue.remove(ticket);
    const { target } = ticket;
    this.tokens.release(ticket, target === undefined ? undefined : outcome);
    if (target !== undefined) this.notices.record(ticket, target, outcome, response);
    if (!this.openGrants.remove(ticket) || target === undefined) return;
    target.inUse -= 1;
    this.queue.recordProcessed(ticket, latencyMs);
    this.outcomeRecorder.record(ticket, target, {
      outcome,
      latencyMs,
      answerBytes: response.answerBytes,
    });
    this.serveQueue();
  }

  /** Handles timeouts of granted and queued requests; must be called several times a second. */
  advance(): void {
    const nowMs = this.clock.getMonotonicTime();
    for (const ticket of this.openGrants.listUnreported(nowMs)) {
      this.recordOutcome(ticket, GrantOutcome.Abandoned, nowMs - ticket.grantedMs);
    }
    this.openGrants.recordOverdue(nowMs);
    for (const ticket of this.queue.listAll()) {
      if (!isTooLate(ticket, this.model, nowMs)) continue;
      this.queue.remove(ticket);
      this.refusals.refuse(ticket, ResultCode.QueueTimeout);
    }
    if (this.queue.size === 0) return;
    this.queue.updateRanks(makeRanking(this.policy, this.getState(), this.queue));
    this.serveWaiting(Infinity);
  }

  /** Applies the health estimate that another home of the service has of a target. */
  applyEvidence(targetId: string, bornMs: number | undefined, evidence: IHealthEvidence): void {
    this.model.targets.applyEvidence(targetId, bornMs, evidence);
  }

  /** Whether this node received a grant request within the last `windowMs`. */
  isActive(windowMs: number): boolean {
    return this.activity.isActive(windowMs);
  }

  /** All targets with their state, for status pages and logs. */
  listTargets(): readonly TargetState[] {
    return this.model.targets.list();
  }

  /** Learned speeds of the targets; undefined if they are not learned. */
  get speeds(): ServiceSpeeds | undefined {
    return this.model.speeds;
  }

  /** Whether so many requests fail that unused targets, including suspected ones, must be used. */
  isFailing(): boolean {
    return this.model.isFailing();
  }

  /** Number of requests that were refused in favour of another tenant's. */
  get fairRefusals(): number {
    return this.refusals.fairRefusals.count;
  }

  get queueLength(): number {
    return this.queue.size;
  }

  private getState(): IServiceState {
    return this.model.getState(this.queue.size);
  }

  /** Grants or rejects the request; returns false if it has to wait. */
  private settle(ticket: Ticket, ahead: number, state: IServiceState): boolean {
    // Checked for queued requests too: the quarantine decision may have been made while they waited.
    if (this.quarantine.getHoldMs(ticket.request.fingerprints) > 0) {
      this.refusals.refuse(ticket, ResultCode.RequestQuarantined);
      return true;
    }
    const waitedMs = ticket.getWaitedMs(state.nowMs);
    const decision = this.policy.decide({ request: ticket.request, waitedMs, ahead }, state);
    if (decision.kind !== 'grant' && hasTurn(ticket, ahead, this.policy, state)) return false;
    if (decision.kind === 'wait') return this.refusals.refuseLate(ticket, ahead, state);
    if (decision.kind === 'refuse') return this.refusals.refuseOrReplace(ticket, decision.code);
    this.issuer.settle(ticket, decision.target);
    return true;
  }

  /** Grants slots that have become free. */
  private serveQueue(): void {
    if (this.queue.size > 0) this.serveWaiting(MAX_SKIPPED);
  }

  /**
   * Decides the queued requests for which a decision is possible. Outcomes arrive hundreds of times a
   * second, so a pass after an outcome ends when no slot is free or when `maxSkipped` requests stay
   * queued: the requests behind them would be offered the same targets.
   */
  private serveWaiting(maxSkipped: number): void {
    let state = this.getState();
    let ahead = 0;
    for (const ticket of this.queue.list(makeRanking(this.policy, state, this.queue))) {
      if (maxSkipped < Infinity && (ahead >= maxSkipped || !hasFreeTarget(state))) return;
      if (!this.settle(ticket, ahead, state)) {
        ahead += 1;
        continue;
      }
      this.queue.remove(ticket);
      state = this.getState();
    }
  }
}
