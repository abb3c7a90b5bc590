/**
 * Weighs granting a slot now against waiting for a better one, in credit that the caller can expect.
 *
 * A failing target answers at once, so its slots are always free while those of sound targets are
 * busy: whoever grants any free slot sends it all that comes at the busiest moments. Work takes a
 * fraction of the objective, so a request loses nothing by waiting for a sound target's slot, and
 * nearly everything by not waiting.
 */
import { ResultCode } from '@parsleymux/base';
import type { IGrantRequest } from '../../grants/common/grant.js';
import type { TargetState } from './targetState.js';
import { CreditForecast } from './creditForecast.js';
import type { IExpectedCreditSettings } from './creditSettings.js';
import { DEFAULT_CREDIT_SETTINGS } from './creditSettings.js';
import type { IServiceState, IWaitingRequest, PolicyDecision } from './grantPolicy.js';
import { GrantPolicy, isFirstRequestDue, listFreeTargets } from './grantPolicy.js';
import { computeDistanceCost, computePlacementCost } from './placementCost.js';

/** Slots that count as there although every target is believed failing. */
const MIN_SLOTS = 0.5;
/** A request whose time ends within so many times the usual work is late no longer, but last. */
const NEAR_DEADLINE_FACTOR = 2;

/** Headroom above the floor, since the share moves with every target that comes or goes. */
const FLOOR_MARGIN = 0.08;
/** Share of the likely sound targets that requests keep in use, also while all is well. */
const MIN_HEALTHY_SHARE_IN_USE = 0.86;
/**
 * Where a target gets fewer requests than this in 2 s, those that can't be repeated try none: each
 * doubted target is tried every few seconds, which is over one in a hundred of so few requests.
 */
const MIN_REQUESTS_PER_TARGET = 6;
/**
 * Above this share of the retry allowance, trials leave the rest to requests that failed. Trouble uses
 * up half of it, and trials are needed then.
 */
const MAX_RETRIES_USED = 0.8;

const REFUSAL: PolicyDecision = { kind: 'refuse', code: ResultCode.QueueFull };

/** Order of the waiting requests of one priority. */
const Rank = { InTime: 0, Late: 1 } as const;

/** What a decision on one request rests on. */
interface IDecisionContext {
  readonly waiting: IWaitingRequest;
  readonly state: IServiceState;
  readonly forecast: CreditForecast;
  /** Slots of targets that the request may go to, each by the probability that it is sound. */
  readonly healthySlots: number;
  /** Until a sound slot is free for it, in ms. */
  readonly waitMs: number;
  /** Expected credit of waiting. */
  readonly waitCredit: number;
}

/**
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
    const { boundsHedges, longestWait, refusalCredit } = this.settings;
    const isBoundHedge = boundsHedges && request.isHedge;
    // Its request has a slot already; a second one would be taken from a request that has none.
    if (isBoundHedge && state.queued > 0) return REFUSAL;
    const target = this.choose(waiting, state);
    if (target !== undefined) return { kind: 'grant', target };
    if (isBoundHedge) return REFUSAL;
    // A second attempt can't be refused truthfully any more: its request may have run.
    if (request.attempt > 1) return { kind: 'wait' };
    const { waitCredit, waitMs } = this.computeContext(waiting, state);
    const isNew = waiting.waitedMs === 0;
    if (isNew && waitMs > longestWait * request.objectiveMs) return REFUSAL;
    return waitCredit > refusalCredit ? { kind: 'wait' } : REFUSAL;
  }

  /**
   * A request that is late already loses nothing by waiting on, up to its deadline, and its place
   * lets another one be in time. Served in the order of arrival, a burst makes all of them late
   * until the queue is empty again.
   */
  override getRank(
    waiting: Omit<IWaitingRequest, 'ahead'>,
    { processingTimes }: IServiceState,
  ): number {
    const { request, waitedMs } = waiting;
    if (!this.settings.servesInTimeFirst) return Rank.InTime;
    const processingMs = processingTimes.getMeanMs(request.route, request.objectiveMs);
    const isLate = waitedMs + processingMs > request.objectiveMs;
    const hasTime = request.remainingMs - waitedMs > processingMs * NEAR_DEADLINE_FACTOR;
    return isLate && hasTime ? Rank.Late : Rank.InTime;
  }

  override estimateWaitMs(request: IGrantRequest, ahead: number, state: IServiceState): number {
    return computeWaitMs(request, ahead, countHealthySlots(request, state), state);
  }

  private choose(waiting: IWaitingRequest, state: IServiceState): TargetState | undefined {
    const { request } = waiting;
    const free = listFreeTargets(request, state);
    const due = free.find((target) => isFirstRequestDue(target, request, state.nowMs));
    if (due !== undefined) return due;
    const context = this.computeContext(waiting, state);
    return this.findDue(free, context) ?? this.findBest(free, context);
  }

  /**
   * Keeps enough targets in use, also while all is well: when much fails at one moment, the time over
   * which targets in use are counted has already begun. Left alone, a calm load keeps to few targets,
   * and those that recovered stay unused, for no slot is wanted.
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
      // Beliefs may be wrong, and each target counts, whatever is believed of it.
      return findLeastSuspected(freeDue, state);
    }
    if (healthyShare >= MIN_HEALTHY_SHARE_IN_USE) return undefined;
    if (!waiting.request.mayRetry) return this.findProbeWithoutRetry(free, freeDue, context);
    if (state.retriesUsed >= MAX_RETRIES_USED) return undefined;
    return this.findBest(freeDue, context, -Infinity);
  }

  /**
   * A target due for a request that can't be sent once more. Those believed sound cost next to
   * nothing; of the doubted ones, the one that failed longest ago is tried first, and the sooner the
   * more targets are missing: a failed trial lowers what its target counts for, so the share rises and
   * the next one waits. With a fixed share, or one trial in so many requests, trials go on when none
   * is needed.
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

  private computeContext(waiting: IWaitingRequest, state: IServiceState): IDecisionContext {
    const { ahead, request } = waiting;
    const forecast = new CreditForecast(waiting, state.processingTimes, this.settings.lateCredit);
    const healthySlots = countHealthySlots(request, state);
    const waitMs = computeWaitMs(request, ahead, healthySlots, state);
    const waitCredit = forecast.getCredit(waitMs) * (1 - state.model.healthyFailureRate);
    return { waiting, state, forecast, healthySlots: healthySlots, waitMs, waitCredit };
  }

  /** The best target that is worth taking now; undefined when waiting or refusing is better. */
  private findBest(
    free: readonly TargetState[],
    context: IDecisionContext,
    least = this.getMinCredit(context),
  ): TargetState | undefined {
    const { state, waiting } = context;
    const { weights } = this.settings;
    let best: TargetState | undefined;
    let bestCredit = -Infinity;
    for (const target of free) {
      const credit = this.computeCredit(target, context);
      if (credit + this.computeLocalityCredit(target, context) < least) continue;
      const placed = credit - computePlacementCost(target, waiting.request, weights, state);
      if (placed <= bestCredit) continue;
      best = target;
      bestCredit = placed;
    }
    return best;
  }

  /** Expected credit below which waiting or refusing is better. */
  private getMinCredit({ waitCredit, waiting }: IDecisionContext): number {
    const { refusalCredit, waitMargin } = this.settings;
    return Math.max(waitCredit - waitMargin, waiting.request.attempt === 1 ? refusalCredit : 0);
  }

  /**
   * What trying a target of the entry's own failure domain is worth beyond this request: found sound,
   * it saves the way of all that follow. Without it, a near target that nothing was heard of for a
   * while is passed over for a far one that is known to be sound, and never heard of again.
   */
  private computeLocalityCredit(target: TargetState, { state, waiting }: IDecisionContext): number {
    const { nearTrials, weights } = this.settings;
    const { request } = waiting;
    const isNear = target.record.failureDomain === request.failureDomain;
    if (!isNear || state.queued > 0) return 0;
    return nearTrials * computeDistanceCost(request, weights, state);
  }

  /** Expected credit of granting `target` now. */
  private computeCredit(target: TargetState, context: IDecisionContext): number {
    const { forecast, state } = context;
    const { failingFailureRate, healthyFailureRate } = state.model;
    const suspicion = target.health.getSuspicion(state.nowMs);
    const failure = suspicion * failingFailureRate + (1 - suspicion) * healthyFailureRate;
    const credit = (1 - failure) * forecast.getCredit(0);
    const probe = this.settings.valuesProbes ? computeProbeCredit(target, suspicion, context) : 0;
    return credit + failure * this.computeRetryCredit(context) + probe;
  }

  /**
   * Credit that is left after a failed attempt: none where the request can't be repeated; else that
   * of a second attempt, which waits for a sound slot like any other, as far as there are retries.
   */
  private computeRetryCredit({ state, waitCredit, waiting }: IDecisionContext): number {
    if (!waiting.request.mayRetry) return 0;
    const left = 1 - state.retriesUsed * state.retriesUsed;
    return left * Math.max(0, waitCredit - this.settings.retryCost);
  }
}

/**
 * What the waiting requests gain if this target turns out sound: all get a slot sooner. A target
 * that is being tried already tells no more by a second request.
 */
function computeProbeCredit(
  target: TargetState,
  suspicion: number,
  context: IDecisionContext,
): number {
  const { forecast, healthySlots: healthySlots, state, waiting } = context;
  if (target.inUse > 0 || state.queued === 0) return 0;
  const { request } = waiting;
  const wait = (slots: number) => computeWaitMs(request, state.queued / 2, slots, state);
  const now = forecast.getCredit(wait(healthySlots));
  const then = forecast.getCredit(wait(healthySlots + target.record.slots * suspicion));
  return (1 - suspicion) * state.queued * Math.max(0, then - now);
}

function countHealthySlots(request: IGrantRequest, state: IServiceState): number {
  const { nowMs, targets, processingTimes } = state;
  const processingMs = processingTimes.getServiceMeanMs(request.objectiveMs);
  let slots = 0;
  let usable = 0;
  for (const target of targets) {
    const { health, isReady, record } = target;
    if (!isReady || request.excluded.includes(record.id)) continue;
    const ofTarget = target.countUsableSlots(processingMs);
    usable += ofTarget;
    slots += ofTarget * (1 - health.getSuspicion(nowMs));
  }
  return Math.max(usable > 0 ? Math.min(MIN_SLOTS, usable) : MIN_SLOTS, slots);
}

/**
 * While every sound slot is in use, one gets free each time one piece of work is done. That is work of
 * all routes of the service: by its own route's, a long request would be refused while short ones
 * are ahead of it, and a short one let in behind long ones.
 */
function computeWaitMs(
  request: IGrantRequest,
  ahead: number,
  healthySlots: number,
  { processingTimes }: IServiceState,
): number {
  return ((ahead + 1) * processingTimes.getServiceMeanMs(request.objectiveMs)) / healthySlots;
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
