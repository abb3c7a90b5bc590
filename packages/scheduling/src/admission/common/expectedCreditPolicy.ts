/**
 * Compares the expected credit of granting a free slot now with that of waiting for a better one.
 *
 * A failing target often fails fast, so its slots are free while those of healthy targets are in use.
 * A policy that grants any free slot sends the failing target most requests at peak load. Processing
 * takes a fraction of the objective, so waiting for a slot of a healthy target costs a request almost
 * no credit, while being sent to a failing target costs nearly all of it.
 */
import { ResultCode } from '@parsleymux/base';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { TargetState } from '../../capacity/common/targetState.js';
import { getLateCredit } from './admissionSettings.js';
import { CreditForecast } from './creditForecast.js';
import type { IExpectedCreditSettings } from './creditSettings.js';
import { DEFAULT_CREDIT_SETTINGS } from './creditSettings.js';
import type { IServiceState, IWaitingRequest, PolicyDecision } from './grantPolicy.js';
import { computeLatestStartMs } from './latestStart.js';
import { GrantPolicy, isFirstRequestDue, listFreeTargets } from './grantPolicy.js';
import { computeWaitCredit, computeWaitMs, countHealthySlots } from './slotWait.js';
import { computeDistanceCost, computePlacementCost } from '../../capacity/common/placementCost.js';

/** A late request regains its rank when less than this multiple of the mean processing time remains. */
const NEAR_DEADLINE_FACTOR = 2;

/** Margin above the floor, because the share changes with every added or removed target. */
const FLOOR_MARGIN = 0.08;
/** Share of the expected healthy targets that is kept in use even without failures. */
const MIN_HEALTHY_SHARE_IN_USE = 0.86;
/**
 * Requests that can't be retried probe no target if targets get fewer requests than this in 2 s. Each
 * suspected target is probed every few seconds, which would be over 1% of so few requests.
 */
const MIN_REQUESTS_PER_TARGET = 6;
/**
 * Above this used share of the retry allowance there are no probes, so that the rest remains for failed
 * requests. Not lower: an incident uses half of the allowance, and probes are needed during one.
 */
const MAX_RETRIES_USED = 0.8;

const REFUSAL: PolicyDecision = { kind: 'refuse', code: ResultCode.QueueFull };

/** Ranks of queued requests of the same priority. */
const Rank = { InTime: 0, Late: 1 } as const;

/** Inputs of the decision on one request. */
interface IDecisionContext {
  readonly waiting: IWaitingRequest;
  readonly state: IServiceState;
  readonly forecast: CreditForecast;
  /** Slots of the usable targets, weighted by the probability that the target is healthy. */
  readonly healthySlots: number;
  /** Expected wait for a slot of a healthy target, in ms. */
  readonly waitMs: number;
  /** Expected credit of waiting. */
  readonly waitCredit: number;
}

/**
 * Grants the free target with the highest expected credit, unless waiting is worth more.
 *
 * @example
 * const decision = new ExpectedCreditPolicy().decide(waiting, state);
 */
export class ExpectedCreditPolicy extends GrantPolicy {
  private readonly settings: IExpectedCreditSettings;

  constructor(settings: Partial<IExpectedCreditSettings> = {}) {
    super();
    this.settings = { ...DEFAULT_CREDIT_SETTINGS, ...settings };
  }

  override decide(waiting: IWaitingRequest, state: IServiceState): PolicyDecision {
    const { request } = waiting;
    const { boundsHedges, longestWait, refusalCredit, refusesUnrunRetries } = this.settings;
    const isBoundHedge = boundsHedges && request.isHedge;
    // The original request already has a slot; the hedge would delay a queued request without one.
    if (isBoundHedge && state.queued > 0) return REFUSAL;
    const context = this.computeContext(waiting, state);
    const target = this.choose(context);
    if (target !== undefined) return { kind: 'grant', target };
    if (isBoundHedge) return REFUSAL;
    // A request that may have run can't be rejected: a rejection states that it has not.
    const mayRefuse = request.attempt === 1 || (refusesUnrunRetries && !request.isCharged);
    if (!mayRefuse) return { kind: 'wait' };
    const { waitCredit, waitMs } = context;
    const isNew = waiting.waitedMs === 0;
    if (isNew && waitMs > longestWait * request.objectiveMs) return REFUSAL;
    return waitCredit > refusalCredit ? { kind: 'wait' } : REFUSAL;
  }

  /** The class, or with admission the latest start. */
  override getRank(waiting: Omit<IWaitingRequest, 'ahead'>, state: IServiceState): number {
    const { admission, processingTimes } = state;
    if (admission?.isEnabled === true) return computeLatestStartMs(waiting, processingTimes);
    return this.getClass(waiting, state);
  }

  /**
   * Ranks late requests last: up to its deadline a late request loses no further credit by waiting,
   * and its slot lets another request meet its objective. In order of arrival, a burst would make
   * all requests late until the queue is empty.
   */
  override getClass(
    { request, waitedMs }: Omit<IWaitingRequest, 'ahead'>,
    { processingTimes, speeds }: IServiceState,
  ): number {
    if (!this.settings.servesInTimeFirst) return Rank.InTime;
    const times = speeds?.workTimes ?? processingTimes;
    const processingMs = times.getMeanMs(request.route, request.objectiveMs);
    const isLate = waitedMs + processingMs > request.objectiveMs;
    const hasTime = request.remainingMs - waitedMs > processingMs * NEAR_DEADLINE_FACTOR;
    return isLate && hasTime ? Rank.Late : Rank.InTime;
  }

  override estimateWaitMs(request: IGrantRequest, ahead: number, state: IServiceState): number {
    return computeWaitMs(request, ahead, countHealthySlots(request, state), state);
  }

  private choose(context: IDecisionContext): TargetState | undefined {
    const { state, waiting } = context;
    const { request } = waiting;
    const free = listFreeTargets(request, state);
    const due = free.find((target) => isFirstRequestDue(target, request, state.nowMs));
    if (due !== undefined) return due;
    return this.findDue(free, context) ?? this.findBest(free, context);
  }

  /**
   * Keeps enough targets in use even without failures: when many requests begin to fail, the window over
   * which the floor is evaluated has already started. Otherwise a low load would use few targets, and
   * recovered targets would stay unused, because no additional slots are needed.
   */
  private findDue(
    free: readonly TargetState[],
    context: IDecisionContext,
  ): TargetState | undefined {
    const { state, waiting } = context;
    const { due, share, healthyShare } = state.usage;
    if (!this.settings.keepsFloor) return undefined;
    const freeDue = free.filter((target) => due.includes(target));
    if (state.isFailing && share < state.floorShare + FLOOR_MARGIN) {
      // The estimates may be wrong, and every target counts for the floor regardless of its estimate.
      return findLeastSuspected(freeDue, state);
    }
    if (healthyShare >= MIN_HEALTHY_SHARE_IN_USE) return undefined;
    if (!waiting.request.mayRetry) return this.findProbeWithoutRetry(free, freeDue, context);
    if (state.retriesUsed >= MAX_RETRIES_USED) return undefined;
    return this.findBest(freeDue, context, -Infinity);
  }

  /**
   * Finds a due target for a request that can't be retried. Targets considered healthy cost next to
   * nothing. Of the suspected ones, the target that failed longest ago is probed first, and the earlier
   * the more targets are missing in use. A failed probe lowers the weight of its target, which raises
   * the share and delays the next probe. A fixed loss, or probing with every n-th request, would
   * continue to probe when it is not needed.
   */
  private findProbeWithoutRetry(
    free: readonly TargetState[],
    freeDue: readonly TargetState[],
    context: IDecisionContext,
  ): TargetState | undefined {
    const { requestsPerTarget, healthyShare } = context.state.usage;
    if (requestsPerTarget < MIN_REQUESTS_PER_TARGET) return undefined;
    const credits = free.map((target) => this.computeCredit(target, context));
    const maxCredit = Math.max(context.waitCredit, ...credits);
    const maxLoss = (MIN_HEALTHY_SHARE_IN_USE - healthyShare) * this.settings.trialLoss;
    return this.findBest(freeDue, context, maxCredit - maxLoss);
  }

  private getLateCredit({ route }: IGrantRequest, { admission }: IServiceState): number {
    return admission === undefined ? this.settings.lateCredit : getLateCredit(admission, route);
  }

  private computeContext(waiting: IWaitingRequest, state: IServiceState): IDecisionContext {
    const { ahead, request } = waiting;
    const lateCredit = this.getLateCredit(request, state);
    const times = state.speeds?.workTimes ?? state.processingTimes;
    const forecast = new CreditForecast(waiting, times, lateCredit);
    const healthySlots = countHealthySlots(request, state);
    const waitMs = computeWaitMs(request, ahead, healthySlots, state);
    const credit = computeWaitCredit(waiting, healthySlots, forecast, state);
    const waitCredit = credit * (1 - state.model.healthyFailureRate);
    return { waiting, state, forecast, healthySlots, waitMs, waitCredit };
  }

  /** The best target that is worth granting now; undefined if waiting or rejecting is better. */
  private findBest(
    free: readonly TargetState[],
    context: IDecisionContext,
    minCredit = this.getMinCredit(context),
  ): TargetState | undefined {
    const { state, waiting } = context;
    const { weights } = this.settings;
    let best: TargetState | undefined;
    let bestCredit = -Infinity;
    for (const target of free) {
      const credit = this.computeCredit(target, context);
      if (credit + this.computeLocalityCredit(target, context) < minCredit) continue;
      const netCredit = credit - computePlacementCost(target, waiting.request, weights, state);
      if (netCredit <= bestCredit) continue;
      best = target;
      bestCredit = netCredit;
    }
    return best;
  }

  /** Expected credit below which waiting or rejecting is better. */
  private getMinCredit({ waitCredit, waiting }: IDecisionContext): number {
    const { refusalCredit, waitMargin } = this.settings;
    return Math.max(waitCredit - waitMargin, waiting.request.attempt === 1 ? refusalCredit : 0);
  }

  /**
   * Credit of probing a target in the entry's own failure domain, beyond this request: if it is healthy,
   * all later requests avoid the longer path. Without this credit, a local target without recent
   * outcomes would lose to a remote target known to be healthy, and would never be used again.
   */
  private computeLocalityCredit(target: TargetState, { state, waiting }: IDecisionContext): number {
    const { nearTrials, weights } = this.settings;
    const { request } = waiting;
    const isLocal = target.record.failureDomain === request.failureDomain;
    if (!isLocal || state.queued > 0) return 0;
    return nearTrials * computeDistanceCost(request, weights, state);
  }

  /** Expected credit of granting `target` now. */
  private computeCredit(target: TargetState, context: IDecisionContext): number {
    const { forecast, state, waiting } = context;
    const { failingFailureRate, healthyFailureRate } = state.model;
    const suspicion = target.health.getSuspicion(state.nowMs);
    const failure = suspicion * failingFailureRate + (1 - suspicion) * healthyFailureRate;
    const factor = state.speeds?.getFactor(target, waiting.request.route, state.nowMs) ?? 1;
    const credit = (1 - failure) * forecast.getCredit(0, factor);
    const probe = this.settings.valuesProbes ? computeProbeCredit(target, suspicion, context) : 0;
    return credit + failure * this.computeRetryCredit(context) + probe;
  }

  /**
   * Expected credit after a failed attempt: zero if the request can't be retried; otherwise that of a
   * second attempt, which waits for a healthy slot, reduced as the retry allowance is used up.
   */
  private computeRetryCredit({ state, waitCredit, waiting }: IDecisionContext): number {
    if (!waiting.request.mayRetry) return 0;
    const retryShare = 1 - state.retriesUsed * state.retriesUsed;
    return retryShare * Math.max(0, waitCredit - this.settings.retryCost);
  }
}

/**
 * Expected gain of the queued requests if this target proves healthy: all of them get a slot sooner. Zero
 * for a target with a request in progress, because a second one provides no additional information.
 */
function computeProbeCredit(
  target: TargetState,
  suspicion: number,
  context: IDecisionContext,
): number {
  const { forecast, healthySlots, state, waiting } = context;
  if (target.inUse > 0 || state.queued === 0) return 0;
  const { request } = waiting;
  const computeSlotWaitMs = (slots: number) =>
    computeWaitMs(request, state.queued / 2, slots, state);
  const creditNow = forecast.getCredit(computeSlotWaitMs(healthySlots));
  const creditIfHealthy = forecast.getCredit(
    computeSlotWaitMs(healthySlots + target.record.slots * suspicion),
  );
  return (1 - suspicion) * state.queued * Math.max(0, creditIfHealthy - creditNow);
}

function findLeastSuspected(
  targets: readonly TargetState[],
  { nowMs }: IServiceState,
): TargetState | undefined {
  let least: TargetState | undefined;
  for (const target of targets) {
    const suspicion = target.health.getSuspicion(nowMs);
    if (least === undefined || suspicion < least.health.getSuspicion(nowMs)) least = target;
  }
  return least;
}
