/** Computes this home's shares of the tenants' limits. */
import type { Clock } from '@parsleymux/base';
import { ACTIVE_MS } from '../../grants/common/sharingIntervals.js';
import { RequestRate } from '../../statistics/common/requestRate.js';

/** Announcements of other homes expire after this time, in ms: four announcement intervals. */
const ANNOUNCEMENT_TTL_MS = 2000;
/**
 * Rate that is added to each home's observed rate of a tenant when the limit is divided, in requests per
 * second. The next request of a nearly idle tenant may arrive at any home.
 */
const ASSUMED_RATE_PER_S = 2;
/** Homes that started within this time of each other count as started together, as a fleet does; in ms. */
const SIMULTANEOUS_START_MS = 2000;
/** Below this rate a tenant counts as idle, in requests per second: one request some ten seconds ago. */
const IDLE_RATE_PER_S = 0.003;
/** Part of its own share of a limit above which a home reports the tenant to the others. */
const NEAR_LIMIT_SHARE = 0.7;

/** Requests of one tenant at one home. */
export interface ITenantRate {
  readonly perS: number;
  /** Whether the home is near its share of the limit; the others then announce their rates. */
  readonly isNearLimit: boolean;
}

/** Requests of tenants at one home. */
export interface ITenantUse {
  /** How long the home has received grant requests without a pause, in ms. */
  readonly atWorkMs: number;
  /** Rate of all tenants together, in requests per second. */
  readonly total: number;
  readonly tenants: ReadonlyMap<string, ITenantRate>;
}

interface ITimestampedUse extends ITenantUse {
  readonly atMs: number;
}

/** Options of {@link QuotaShares}. */
export interface IQuotaSharesOptions {
  readonly clock: Clock;
  /** The number of services that have homes. */
  readonly countServices: () => number;
}

/**
 * Homes divide the limit of a tenant in proportion to the requests that they receive. While no home is near
 * its share, the shares follow the rates of all tenants together, so that single tenants need not be
 * announced. Once a tenant is near its limit at any home, all homes announce its rate, and its limit is
 * divided by the rates of this tenant.
 *
 * @example
 * shares.record('sese880');
 * const share = shares.getShare('sese880');
 */
export class QuotaShares {
  private readonly total = new RequestRate();
  private readonly rates = new Map<string, RequestRate>();
  private readonly others = new Map<string, ITimestampedUse>();
  /** This home's last announcement: shares add up to one only if all homes use the same figures. */
  private announced: ITimestampedUse | undefined;
  private lastMs = -Infinity;
  private sinceMs: number | undefined;

  constructor(private readonly options: IQuotaSharesOptions) {}

  /** Counts a request of a tenant. */
  record(tenant: string): void {
    const nowMs = this.options.clock.getMonotonicTime();
    if (nowMs - this.lastMs > ACTIVE_MS) this.sinceMs = nowMs;
    this.lastMs = nowMs;
    this.total.add(nowMs);
    const rate = this.rates.get(tenant) ?? new RequestRate();
    this.rates.set(tenant, rate);
    rate.add(nowMs);
  }

  /**
   * Start of the current period of grant requests without a pause, in ms of the monotonic clock; undefined
   * before the first one.
   */
  get startMs(): number | undefined {
    return this.sinceMs;
  }

  /** Records the announcement of another home. */
  recordRemoteUse(home: string, use: ITenantUse): void {
    this.others.set(home, { ...use, atMs: this.options.clock.getMonotonicTime() });
  }

  /** This home's share of a tenant's limit, from 0 to 1. */
  getShare(tenant: string): number {
    const nowMs = this.options.clock.getMonotonicTime();
    const others = this.listOthers(nowMs);
    const announcedRates = others.flatMap(({ tenants }) => tenants.get(tenant)?.perS ?? []);
    const isDividedByTenantRate = others.length > 0 && announcedRates.length === others.length;
    const ownRate = isDividedByTenantRate
      ? this.getOwnRate(tenant, nowMs)
      : this.getOwnTotal(nowMs);
    const otherRates = isDividedByTenantRate ? announcedRates : others.map(({ total }) => total);
    const totalRate = otherRates.reduce(
      (sum, rate) => sum + rate + ASSUMED_RATE_PER_S,
      ownRate + ASSUMED_RATE_PER_S,
    );
    const share = (ownRate + ASSUMED_RATE_PER_S) / totalRate;
    return this.isInformed(nowMs) ? share : Math.min(share, 1 / this.options.countServices());
  }

  /**
   * Additional share that this home may use: while no other home has reported the tenant, none of them is
   * near its own share.
   */
  getBorrowedShare(tenant: string): number {
    return this.isReportedNearLimit(tenant)
      ? 0
      : (1 - NEAR_LIMIT_SHARE) * (1 - this.getShare(tenant));
  }

  /** Whether another home is near its share of the tenant's limit. */
  isReportedNearLimit(tenant: string): boolean {
    const others = this.listOthers(this.options.clock.getMonotonicTime());
    return others.some(({ tenants }) => tenants.get(tenant)?.isNearLimit === true);
  }

  /** Whether this home started later than another home that has reported the tenant. */
  hasTakenOver(tenant: string): boolean {
    const nowMs = this.options.clock.getMonotonicTime();
    const ownMs = this.getActiveMs(nowMs);
    return this.listOthers(nowMs).some(({ atMs, atWorkMs, tenants }) => {
      return tenants.has(tenant) && atWorkMs + nowMs - atMs > ownMs + SIMULTANEOUS_START_MS;
    });
  }

  /**
   * Returns the announcement for the other homes. `getLimit` returns requests per second, or undefined
   * without a limit.
   */
  summarize(getLimit: (tenant: string) => number | undefined): ITenantUse {
    const nowMs = this.options.clock.getMonotonicTime();
    const tenants = new Map<string, ITenantRate>();
    for (const [name, rate] of this.rates) {
      const perS = rate.getRatePerS(nowMs);
      const ownLimit = (getLimit(name) ?? Infinity) * this.getShare(name);
      const isNearLimit = perS > ownLimit * NEAR_LIMIT_SHARE;
      if (isNearLimit || this.isReportedNearLimit(name)) tenants.set(name, { perS, isNearLimit });
    }
    this.addReportedTenants(tenants, nowMs);
    const atWorkMs = this.getActiveMs(nowMs);
    this.announced = { atWorkMs, total: this.total.getRatePerS(nowMs), tenants, atMs: nowMs };
    return this.announced;
  }

  /** Removes tenants that have sent almost nothing recently. */
  clearIdle(): void {
    const nowMs = this.options.clock.getMonotonicTime();
    for (const [name, rate] of this.rates) {
      if (rate.getRatePerS(nowMs) < IDLE_RATE_PER_S) this.rates.delete(name);
    }
  }

  /** Whether this home has been active long enough to have received the others' announcements. */
  private isInformed(nowMs: number): boolean {
    return this.sinceMs !== undefined && nowMs - this.sinceMs > ANNOUNCEMENT_TTL_MS / 2;
  }

  /**
   * Adds the tenants that other homes have reported. A limit is divided by the rates of its tenant only
   * once every home has announced them, including homes that receive none of its requests.
   */
  private addReportedTenants(tenants: Map<string, ITenantRate>, nowMs: number): void {
    for (const { tenants: reportedTenants } of this.listOthers(nowMs)) {
      for (const [name, { isNearLimit }] of reportedTenants) {
        if (isNearLimit && !tenants.has(name)) tenants.set(name, { perS: 0, isNearLimit: false });
      }
    }
  }

  private getActiveMs(nowMs: number): number {
    return this.sinceMs === undefined ? 0 : nowMs - this.sinceMs;
  }

  private getOwnRate(tenant: string, nowMs: number): number {
    const announced = this.getAnnounced(nowMs)?.tenants.get(tenant)?.perS;
    return announced ?? this.rates.get(tenant)?.getRatePerS(nowMs) ?? 0;
  }

  private getOwnTotal(nowMs: number): number {
    return this.getAnnounced(nowMs)?.total ?? this.total.getRatePerS(nowMs);
  }

  private getAnnounced(nowMs: number): ITimestampedUse | undefined {
    return this.announced !== undefined && nowMs - this.announced.atMs <= ANNOUNCEMENT_TTL_MS
      ? this.announced
      : undefined;
  }

  private listOthers(nowMs: number): readonly ITimestampedUse[] {
    for (const [home, { atMs }] of this.others) {
      if (nowMs - atMs > ANNOUNCEMENT_TTL_MS) this.others.delete(home);
    }
    return [...this.others.values()];
  }
}
