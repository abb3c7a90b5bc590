/** Reserves room in the quotas of tenants for callers that were refused. */
import type { SlidingCount } from '../../statistics/common/slidingCount.js';
import type { IPlannedReturn, IReturnFacts } from './plannedReturn.js';
import { computeLastPlaceMs, computeLatestReturnMs, toRetryAfterMs } from './plannedReturn.js';
import type { IPlaceSummary, IReturnCounts, IReturningCaller } from './returnPlaces.js';
import { ReturnPlaces } from './returnPlaces.js';

/** The caller of a request of a tenant. */
export interface IQuotaCaller {
  /** Service that it calls. */
  readonly service?: string | undefined;
  /** Identifies the request: the same for all copies. */
  readonly fingerprint: string;
  /** Time until the request's deadline, in ms. */
  readonly remainingMs: number;
  /** Time within which a response has full credit, in ms. */
  readonly objectiveMs: number;
}

/** A home's part of a tenant's window. */
export interface IQuotaWindow {
  readonly used: SlidingCount;
  /** Requests that the home may admit in the window. */
  readonly allowance: number;
}

/**
 * The n-th refused caller gets the place of the n-th request that leaves the window. Requests are admitted
 * against the count of the window alone, so that a place never raises a window above its limit.
 *
 * @example
 * const ahead = returns.countAhead('north', caller, nowMs);
 * if (used + ahead + 1 > allowance) return returns.planReturn('north', caller, window, nowMs);
 * returns.recordAdmitted('north', caller, nowMs);
 */
export class QuotaReturns {
  private readonly places = new ReturnPlaces();
  /** Callers without a place, whose age counts when they return. */
  private readonly refused = new ReturnPlaces();

  get counts(): IReturnCounts {
    return this.places.counts;
  }

  /** Places that precede a caller; none precedes one that comes at its time. */
  countAhead(tenant: string, caller: IQuotaCaller, nowMs: number): number {
    return this.places.isDue(makeKey(tenant, caller), nowMs)
      ? 0
      : this.places.countExpected(tenant, nowMs);
  }

  recordAdmitted(tenant: string, caller: IQuotaCaller, nowMs: number): void {
    this.places.recordServed(makeKey(tenant, caller), nowMs);
  }

  /** The next places of callers of `service`, for {@link merge} of another home. */
  summarize(service: string, nowMs: number): readonly IPlaceSummary[] {
    return this.places.summarize(nowMs, service);
  }

  /** Adds another home's places; those of this home take precedence. They admit nothing by themselves. */
  merge(service: string, places: readonly IPlaceSummary[], nowMs: number): void {
    this.places.merge(places, nowMs, service);
  }

  /** Plans the return of a caller that is refused. */
  planReturn(
    tenant: string,
    caller: IQuotaCaller,
    { allowance, used }: IQuotaWindow,
    nowMs: number,
  ): IPlannedReturn {
    const key = makeKey(tenant, caller);
    const latestMs = computeLatestReturnMs(caller.remainingMs);
    const known = this.places.find(key, nowMs);
    const isMissed = known !== undefined && this.places.isDue(key, nowMs);
    const promisedBefore = this.places.count(tenant, nowMs);
    const makeReturn = (retryAfterMs: number, isPromised: boolean): IPlannedReturn => {
      const facts = { isPromised, basis: 'quota', basisAgeMs: 0, promisedBefore } as const;
      return { retryAfterMs, place: facts satisfies IReturnFacts };
    };
    if (known !== undefined && !isMissed) {
      this.places.recordEarly();
      return makeReturn(toRetryAfterMs(known.atMs - nowMs), true);
    }
    if (isMissed) this.places.recordMissed(key);
    const free = Math.floor(allowance) - used.count(nowMs);
    const ahead = isMissed ? 0 : Math.floor(this.places.countExpected(tenant, nowMs));
    const index = Math.max(1, ahead + 1 - free);
    const atMs = used.estimateExpiryMs(index, nowMs);
    const waitMs = atMs === undefined ? Infinity : toRetryAfterMs(atMs - nowMs);
    const { service } = caller;
    const { firstMs } = known ?? this.refused.find(key, nowMs) ?? { firstMs: nowMs };
    const lastMs = computeLastPlaceMs({ ...caller, ageMs: nowMs - firstMs });
    if (
      waitMs <= lastMs &&
      this.places.put(key, { atMs: nowMs + waitMs, firstMs, service }, nowMs)
    ) {
      return makeReturn(waitMs, true);
    }
    this.refused.put(key, { atMs: nowMs + latestMs, firstMs }, nowMs);
    return makeReturn(latestMs, false);
  }
}

function makeKey(tenant: string, { fingerprint }: IQuotaCaller): IReturningCaller {
  return { lane: tenant, key: fingerprint };
}
