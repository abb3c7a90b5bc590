/** Reserves room in the queue of a service for callers that were refused. */
import { ResultCode } from '@parsleymux/base';
import type { IServiceState } from '../../admission/common/grantPolicy.js';
import type { IGrantRequest } from '../../grants/common/grant.js';
import { ExpectedWaitPlanner } from './expectedWaitPlanner.js';
import type { IPlannedReturn } from './plannedReturn.js';
import { computeLatestReturnMs, toRetryAfterMs } from './plannedReturn.js';
import type { IPlaceSummary, IReturnCounts, IReturningCaller } from './returnPlaces.js';
import { ReturnPlaces } from './returnPlaces.js';
import type { IRefusedRequest } from './returnPlanner.js';
import { ReturnPlanner } from './returnPlanner.js';

const LANE = 'slots';
/** Shortest time for which a service is expected to have no target, in ms: time for one to register. */
const MIN_OUTAGE_MS = 500;

/** Options of a {@link ReservationPlanner}. */
export interface IReservationPlannerOptions {
  /** Whether room is reserved. Otherwise callers are told what an {@link ExpectedWaitPlanner} says. */
  readonly isEnabled: () => boolean;
}

/**
 * Virtual scheduling: each promise advances the next free time of the service by the time of one slot, so
 * that callers return one after the other.
 *
 * @example
 * const { retryAfterMs } = planner.planReturn(refused, state);
 */
export class ReservationPlanner extends ReturnPlanner {
  private readonly fallback = new ExpectedWaitPlanner();
  private readonly places = new ReturnPlaces();
  /** Callers without a place, whose age counts when they return. */
  private readonly refused = new ReturnPlaces();
  private nextFreeMs = -Infinity;
  private lastAcceptedMs: number | undefined;
  private outageStartMs: number | undefined;

  constructor(private readonly options: IReservationPlannerOptions) {
    super();
  }

  get counts(): IReturnCounts {
    return this.places.counts;
  }

  override planReturn(refused: IRefusedRequest, state: IServiceState): IPlannedReturn {
    const { code, expectedWaitMs, request, slotMs, waitedMs } = refused;
    // The caller knows nothing of hedges, and is not refused once an attempt may have run.
    const isCallerRefused = !request.isHedge && !request.isCharged;
    if (!this.options.isEnabled() || !isCallerRefused) return this.fallback.planReturn(refused);
    const { nowMs } = state;
    const caller = makeCaller(request);
    const known = this.places.find(caller, nowMs);
    const isDue = known !== undefined && this.places.isDue(caller, nowMs);
    const promisedBefore = this.places.count(LANE, nowMs);
    const isOut = code === ResultCode.NoTarget;
    const basis = isOut ? 'no-target' : 'slots';
    const basisAgeMs = isOut ? Math.round(nowMs - (this.lastAcceptedMs ?? nowMs)) : 0;
    const makeReturn = (retryAfterMs: number, isPromised: boolean): IPlannedReturn => {
      return { retryAfterMs, place: { isPromised, basis, basisAgeMs, promisedBefore } };
    };
    if (known !== undefined && !isDue) {
      this.places.recordEarly();
      return makeReturn(toRetryAfterMs(known.atMs - nowMs), true);
    }
    if (isDue) this.places.recordMissed(caller);
    const first = known ?? this.refused.find(caller, nowMs) ?? { firstMs: nowMs - waitedMs };
    const { firstMs } = first;
    const latestMs = computeLatestReturnMs(request.remainingMs - waitedMs);
    const makeUnpromised = (retryAfterMs: number): IPlannedReturn => {
      this.refused.put(caller, { atMs: nowMs + retryAfterMs, firstMs }, nowMs);
      return makeReturn(retryAfterMs, false);
    };
    const ageMs = nowMs - firstMs;
    if (isOut) return makeUnpromised(Math.min(latestMs, this.estimateOutageMs(nowMs, ageMs)));
    const earliestMs = nowMs + Math.max(slotMs, expectedWaitMs - request.objectiveMs);
    // A caller that found no room at its time precedes those that were refused after it.
    const freeMs = isDue ? earliestMs : Math.max(earliestMs, this.nextFreeMs);
    const waitMs = toRetryAfterMs(freeMs - nowMs);
    const place = { atMs: nowMs + waitMs, firstMs };
    const processingMs = state.processingTimes.getMeanMs(request.route, request.objectiveMs);
    const finishMs = waitMs + Math.min(expectedWaitMs, request.objectiveMs) + processingMs;
    // Admission queues only what can be in time; a late place would take the room of such a request.
    const endMs = request.remainingMs - waitedMs;
    const limitMs =
      state.admission?.isEnabled === true ? Math.min(endMs, request.objectiveMs - ageMs) : endMs;
    const isUseful = waitMs <= latestMs && finishMs <= limitMs;
    if (!isUseful || !this.places.put(caller, place, nowMs)) return makeUnpromised(latestMs);
    this.nextFreeMs = Math.max(this.nextFreeMs, earliestMs) + slotMs;
    return makeReturn(waitMs, true);
  }

  override isDue(request: IGrantRequest, nowMs: number): boolean {
    return this.options.isEnabled() && this.places.isDue(makeCaller(request), nowMs);
  }

  override countPromised(nowMs: number): number {
    return this.options.isEnabled() ? this.places.countExpected(LANE, nowMs) : 0;
  }

  override recordAccepted(request: IGrantRequest, nowMs: number): void {
    if (!this.options.isEnabled()) return;
    this.outageStartMs = undefined;
    this.lastAcceptedMs = nowMs;
    this.places.recordServed(makeCaller(request), nowMs);
  }

  /** The next promised places, for {@link merge} of another home. */
  summarize(nowMs: number): readonly IPlaceSummary[] {
    return this.options.isEnabled() ? this.places.summarize(nowMs) : [];
  }

  /** Adds another home's places; those of this home take precedence, and new ones come after both. */
  merge(places: readonly Omit<IPlaceSummary, 'lane'>[], nowMs: number): void {
    if (!this.options.isEnabled()) return;
    this.places.merge(
      places.map((place) => ({ ...place, lane: LANE })),
      nowMs,
    );
    const lastMs = Math.max(...places.map(({ inMs }) => nowMs + inMs));
    this.nextFreeMs = Math.max(this.nextFreeMs, lastMs);
  }

  /**
   * Without targets, nothing can be promised. A caller returns once while its response can still be in time,
   * and after that when the outage has doubled.
   */
  private estimateOutageMs(nowMs: number, ageMs: number): number {
    this.outageStartMs ??= nowMs;
    const outageMs = ageMs > 0 ? nowMs - this.outageStartMs : 0;
    return toRetryAfterMs(Math.max(MIN_OUTAGE_MS, outageMs));
  }
}

/** Fingerprints differ by tenant. */
function makeCaller({ fingerprints: [fingerprint = ''] }: IGrantRequest): IReturningCaller {
  return { lane: LANE, key: fingerprint };
}
