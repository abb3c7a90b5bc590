/** Enforces the quotas of tenants. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { IReturnFacts } from '../../returns/common/plannedReturn.js';
import type { IQuotaCaller, QuotaReturns } from '../../returns/common/quotaReturns.js';
import { SlidingCount } from '../../statistics/common/slidingCount.js';
import type { ITenantBounds, ITenantRule } from '../../catalog/common/tenant.js';
import { PriorityDemand } from './priorityDemand.js';
import type { IWindowLimit } from './quotaLimit.js';
import { computeWindowLimit } from './quotaLimit.js';
import type { QuotaShares } from './quotaShares.js';

/**
 * Part of the tolerance of a window that nodes without a reachable home use together, and the largest share
 * of the fleet that such nodes may be for this to hold.
 */
const CUT_OFF_EXTRA_SHARE = 0.35;
const MAX_CUT_OFF_NODES_SHARE = 0.35;
/** Deviation of the arrivals of a tenant within its quota from their mean, in standard deviations and requests. */
const MAX_DEVIATIONS = 0.65;
const MIN_DEVIATION = 1;
/** Bounds of the Retry-After that callers receive, in ms. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2000;
/** Number of counts that are kept; beyond it, the least recently used one is removed. */
const MAX_COUNTS = 20_000;

/** Options of {@link TenantQuotas}. */
export interface ITenantQuotasOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly shares: QuotaShares;
  readonly getBounds: () => ITenantBounds;
  /** Whether homes that are gone may have granted requests before this node became one. Default: false. */
  readonly mayFollowHomes?: () => boolean;
  /** The number of nodes of the fleet. */
  readonly countNodes: () => number;
  /** Reservations for refused callers at homes. Default: none. */
  readonly returns?: QuotaReturns;
  /** Whether reservations are made. Default: true. */
  readonly hasReturns?: () => boolean;
}

/** The figures behind a quota decision, as written to the log. */
export interface IQuotaFacts {
  readonly tenant: string;
  readonly role: QuotaRole;
  /** Requests of the tenant that this node admitted in the window. */
  readonly used: number;
  /** Requests that it may admit in the window. */
  readonly part: number;
}

/** The refusal of a request because the tenant has used this node's allowance. */
export interface IQuotaRefusal {
  /** Estimated time until another request can be admitted, in ms. */
  readonly retryAfterMs: number;
  readonly facts: IQuotaFacts;
  /** The reservation behind the Retry-After; undefined without reservations. */
  readonly place?: IReturnFacts | undefined;
}

/** What a quota decision depends on besides the tenant. */
export interface IQuotaRequest {
  /** Priority of the request's route. */
  readonly priority?: number | undefined;
  readonly caller?: IQuotaCaller | undefined;
}

/** The role in which a node counts: as the home of a service, or as a node that reaches no home. */
export type QuotaRole = 'home' | 'cut-off';

/** Requests of one tenant at this node in the window. */
interface ITenantCount {
  readonly used: SlidingCount;
  /** Known once a request is spent with its priority. */
  demand?: PriorityDemand;
  /** From 0 to 1; rounds the allowance of a node that reaches no home, which may be below one request. */
  readonly rounding: number;
  /** Requests since this node became a home, admitted or not. */
  arrived: number;
}

/**
 * In each window a tenant may send its rate over that time plus its burst. A home admits its share of this.
 * A node that reaches no home admits a small part of the tolerance, so that all such nodes together stay
 * within the tolerance.
 *
 * @example
 * const refusal = quotas.spend(tenant, 'home');
 * if (refusal !== undefined) refuse(refusal.retryAfterMs);
 */
export class TenantQuotas {
  private readonly counts = new Map<string, ITenantCount>();
  private startMs: number | undefined;

  constructor(private readonly options: ITenantQuotasOptions) {}

  /**
   * Counts a request of the tenant; returns a refusal if it exceeds the allowance. With the priority of the
   * request's route, a home spends a short allowance on the tenant's more urgent requests first. Room is
   * reserved only for a known caller.
   */
  spend(
    tenant: ITenantRule,
    role: QuotaRole,
    { caller, priority }: IQuotaRequest = {},
  ): IQuotaRefusal | undefined {
    const { clock, getBounds } = this.options;
    if (role === 'home') this.recordHomeRequest(tenant.name);
    const bounds = getBounds();
    const limit = computeWindowLimit(tenant, bounds);
    if (limit === undefined) return undefined;
    const nowMs = clock.getMonotonicTime();
    const count = this.getCount(tenant.name, role);
    count.arrived += 1;
    const allowance = this.computeAllowance(tenant.name, limit, role, count);
    const used = count.used.count(nowMs);
    const demand = priority === undefined || role !== 'home' ? undefined : getDemand(count, bounds);
    demand?.recordArrival(priority ?? 0, nowMs);
    const hasRoom = demand?.hasRoom(priority ?? 0, allowance, nowMs) ?? true;
    const returns = role === 'home' ? this.getReturns() : undefined;
    const ahead = caller === undefined ? 0 : (returns?.countAhead(tenant.name, caller, nowMs) ?? 0);
    if (used + ahead + 1 > allowance || !hasRoom) {
      const facts = { tenant: tenant.name, role, used, part: Math.round(allowance) };
      if (caller !== undefined && returns !== undefined) {
        const window = { used: count.used, allowance };
        return { ...returns.planReturn(tenant.name, caller, window, nowMs), facts };
      }
      return { retryAfterMs: computeRetryAfterMs(allowance, bounds.quotaWindowMs), facts };
    }
    count.used.add(nowMs);
    demand?.recordUse(priority ?? 0, nowMs);
    if (caller !== undefined) returns?.recordAdmitted(tenant.name, caller, nowMs);
    return undefined;
  }

  /** Removes a request from the count if no target has run it. */
  release(tenant: string, role: QuotaRole, priority?: number): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const count = this.counts.get(formatKey(tenant, role));
    count?.used.remove(nowMs);
    if (priority !== undefined) count?.demand?.releaseUse(priority, nowMs);
  }

  private getReturns(): QuotaReturns | undefined {
    const { hasReturns = () => true, returns } = this.options;
    return hasReturns() ? returns : undefined;
  }

  /** Clears the counts when this node becomes a home again: they lack later grants of other homes. */
  private recordHomeRequest(tenant: string): void {
    const { shares } = this.options;
    shares.record(tenant);
    if (shares.startMs === this.startMs) return;
    this.startMs = shares.startMs;
    this.counts.clear();
  }

  /** The number of requests that this node may admit in a window. */
  private computeAllowance(
    tenant: string,
    { extra, homes }: IWindowLimit,
    role: QuotaRole,
    count: ITenantCount,
  ): number {
    const { countNodes, shares } = this.options;
    if (role === 'home') {
      const share = shares.getShare(tenant);
      const factor = this.getRampUpFactor(tenant, homes * share, count);
      return homes * (share + shares.getBorrowedShare(tenant)) * factor;
    }
    const allowance =
      (CUT_OFF_EXTRA_SHARE * extra) / Math.max(1, countNodes() * MAX_CUT_OFF_NODES_SHARE);
    return Math.floor(allowance + count.rounding);
  }

  /**
   * Raises the allowance of a new home gradually, since the previous home may just have granted the same
   * requests. The increase is quadratic because a tenant above its quota sends its requests in bursts, which
   * leave the window late. If all homes have restarted, nobody knows the previous home's grants; a tenant that
   * sends more than its quota since then is assumed to have sent as much before.
   */
  private getRampUpFactor(tenant: string, ownPart: number, { arrived }: ITenantCount): number {
    const { clock, getBounds, shares } = this.options;
    const passedMs = clock.getMonotonicTime() - (shares.startMs ?? 0);
    const passed = Math.min(1, passedMs / getBounds().quotaWindowMs);
    const { mayFollowHomes = () => false } = this.options;
    const isOver = mayFollowHomes() && arrived > computeUsualArrivals(ownPart * passed);
    return isOver || shares.hasTakenOver(tenant) ? passed * passed : 1;
  }

  private getCount(tenant: string, role: QuotaRole): ITenantCount {
    const { getBounds, random } = this.options;
    const key = formatKey(tenant, role);
    const count: ITenantCount = this.counts.get(key) ?? {
      used: new SlidingCount(getBounds().quotaWindowMs),
      rounding: random.getFloat(),
      arrived: 0,
    };
    // Reinserted to mark it as the most recently used.
    this.counts.delete(key);
    this.counts.set(key, count);
    const [oldest] = this.counts.keys();
    if (this.counts.size > MAX_COUNTS && oldest !== undefined) this.counts.delete(oldest);
    return count;
  }
}

function getDemand(count: ITenantCount, { quotaWindowMs }: ITenantBounds): PriorityDemand {
  count.demand ??= new PriorityDemand(quotaWindowMs);
  return count.demand;
}

/** The most arrivals of a tenant that sends `expected` requests on average, bursts included. */
function computeUsualArrivals(expected: number): number {
  return expected + MAX_DEVIATIONS * Math.sqrt(expected) + MIN_DEVIATION;
}

/** On average, a request leaves the window after the window's length divided by the limit. */
function computeRetryAfterMs(limit: number, windowMs: number): number {
  return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, windowMs / limit)));
}

function formatKey(tenant: string, role: QuotaRole): string {
  return `${role}/${tenant}`;
}
