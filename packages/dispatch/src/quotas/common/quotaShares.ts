/** What part of the tenants' limits is this home's to spend. */
import type { Clock } from '@parsleymux/base';
import { ACTIVE_MS } from '../../grants/common/sharingIntervals.js';
import { RequestRate } from './requestRate.js';

/** What another home announced is out of date after this time, in ms: four announcements. */
const RECENT_MS = 2000;
/**
 * Requests a second that each home is taken to see of a tenant besides, when its limit is divided by what
 * they see: of one that sends next to nothing, the next request may come to any home.
 */
const ASSUMED_PER_S = 2;
/** Homes that began within this time of each other began together, in ms: a fleet that starts. */
const TOGETHER_MS = 2000;
/** Below this rate a tenant counts as idle, a second: one request some ten seconds ago. */
const IDLE_PER_S = 0.003;
/** Part of a home's own limit above which it names the tenant to the others. */
const NEAR_LIMIT = 0.7;

/** Requests of one tenant at one home. */
export interface ITenantRate {
  readonly perS: number;
  /** Whether the home is near its part of the limit; others answer with their rates. */
  readonly isNear: boolean;
}

/** Requests of tenants at one home. */
export interface ITenantUse {
  /** Since when the home has been asked without a pause, in ms. */
  readonly atWorkMs: number;
  /** Of all tenants, a second. */
  readonly total: number;
  readonly tenants: ReadonlyMap<string, ITenantRate>;
}

interface IDatedUse extends ITenantUse {
  readonly atMs: number;
}

/** Options of {@link QuotaShares}. */
export interface IQuotaSharesOptions {
  readonly clock: Clock;
  /** Services that have homes. */
  readonly countServices: () => number;
}

/**
 * Homes divide a tenant's limit by what they see of it. As long as no home is near its part, the parts
 * follow the requests of all tenants together, so that nothing needs to be said of any single one; a
 * tenant that comes near its limit anywhere is named by all, and divided by its own requests.
 *
 * @example
 * shares.record('sese880');
 * const share = shares.getShare('sese880');
 */
export class QuotaShares {
  private readonly total = new RequestRate();
  private readonly rates = new Map<string, RequestRate>();
  private readonly others = new Map<string, IDatedUse>();
  /** What this home announced last: parts add up to one only if all divide by the same figures. */
  private announced: IDatedUse | undefined;
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

  /** Since when this home has been asked without a pause, in ms; undefined if it never was. */
  get startMs(): number | undefined {
    return this.sinceMs;
  }

  /** Takes what another home sees. */
  take(home: string, use: ITenantUse): void {
    this.others.set(home, { ...use, atMs: this.options.clock.getMonotonicTime() });
  }

  /** Part of a tenant's limit that is this home's, from 0 to 1. */
  getShare(tenant: string): number {
    const nowMs = this.options.clock.getMonotonicTime();
    const others = this.listOthers(nowMs);
    const named = others.flatMap(({ tenants }) => tenants.get(tenant)?.perS ?? []);
    const isDivided = others.length > 0 && named.length === others.length;
    const own = isDivided ? this.getOwnRate(tenant, nowMs) : this.getOwnTotal(nowMs);
    const theirs = isDivided ? named : others.map(({ total }) => total);
    const all = theirs.reduce((sum, rate) => sum + rate + ASSUMED_PER_S, own + ASSUMED_PER_S);
    const share = (own + ASSUMED_PER_S) / all;
    return this.isInformed(nowMs) ? share : Math.min(share, 1 / this.options.countServices());
  }

  /**
   * What this home may use besides: as long as no other has named the tenant, each of them is far enough
   * from its own part.
   */
  getLentShare(tenant: string): number {
    return this.isNamed(tenant) ? 0 : (1 - NEAR_LIMIT) * (1 - this.getShare(tenant));
  }

  /** Whether another home is near its part of the tenant's limit. */
  isNamed(tenant: string): boolean {
    const others = this.listOthers(this.options.clock.getMonotonicTime());
    return others.some(({ tenants }) => tenants.get(tenant)?.isNear === true);
  }

  /** Whether this home began while another, which has named the tenant, was at work already. */
  hasTakenOver(tenant: string): boolean {
    const nowMs = this.options.clock.getMonotonicTime();
    const ownMs = this.getAtWorkMs(nowMs);
    return this.listOthers(nowMs).some(({ atMs, atWorkMs, tenants }) => {
      return tenants.has(tenant) && atWorkMs + nowMs - atMs > ownMs + TOGETHER_MS;
    });
  }

  /** What to announce to the others; `limitOf` in requests a second, undefined without a limit. */
  summarize(limitOf: (tenant: string) => number | undefined): ITenantUse {
    const nowMs = this.options.clock.getMonotonicTime();
    const tenants = new Map<string, ITenantRate>();
    for (const [name, rate] of this.rates) {
      const perS = rate.getPerS(nowMs);
      const part = (limitOf(name) ?? Infinity) * this.getShare(name);
      const isNear = perS > part * NEAR_LIMIT;
      if (isNear || this.isNamed(name)) tenants.set(name, { perS, isNear });
    }
    this.addAnswers(tenants, nowMs);
    const atWorkMs = this.getAtWorkMs(nowMs);
    this.announced = { atWorkMs, total: this.total.getPerS(nowMs), tenants, atMs: nowMs };
    return this.announced;
  }

  /** Forgets tenants that sent next to nothing lately. */
  clearIdle(): void {
    const nowMs = this.options.clock.getMonotonicTime();
    for (const [name, rate] of this.rates) {
      if (rate.getPerS(nowMs) < IDLE_PER_S) this.rates.delete(name);
    }
  }

  /** Whether announcements of the others would have arrived by now. */
  private isInformed(nowMs: number): boolean {
    return this.sinceMs !== undefined && nowMs - this.sinceMs > RECENT_MS / 2;
  }

  /** A limit is divided by requests once every home has named the tenant, also one that sees none. */
  private addAnswers(tenants: Map<string, ITenantRate>, nowMs: number): void {
    for (const { tenants: named } of this.listOthers(nowMs)) {
      for (const [name, { isNear }] of named) {
        if (isNear && !tenants.has(name)) tenants.set(name, { perS: 0, isNear: false });
      }
    }
  }

  private getAtWorkMs(nowMs: number): number {
    return this.sinceMs === undefined ? 0 : nowMs - this.sinceMs;
  }

  private getOwnRate(tenant: string, nowMs: number): number {
    const announced = this.getAnnounced(nowMs)?.tenants.get(tenant)?.perS;
    return announced ?? this.rates.get(tenant)?.getPerS(nowMs) ?? 0;
  }

  private getOwnTotal(nowMs: number): number {
    return this.getAnnounced(nowMs)?.total ?? this.total.getPerS(nowMs);
  }

  private getAnnounced(nowMs: number): IDatedUse | undefined {
    return this.announced !== undefined && nowMs - this.announced.atMs <= RECENT_MS
      ? this.announced
      : undefined;
  }

  private listOthers(nowMs: number): readonly IDatedUse[] {
    for (const [home, { atMs }] of this.others) {
      if (nowMs - atMs > RECENT_MS) this.others.delete(home);
    }
    return [...this.others.values()];
  }
}
