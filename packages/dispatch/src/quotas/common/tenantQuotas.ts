/** Counts the requests of tenants against their quotas. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { SlidingCount } from '../../home/common/slidingCount.js';
import type { ITenantBounds, ITenantRule } from '../../tenants/common/tenant.js';
import type { IWindowLimit } from './quotaLimit.js';
import { computeWindowLimit } from './quotaLimit.js';
import type { QuotaShares } from './quotaShares.js';

/**
 * Part of what a window may hold above the limit that all nodes together use that reach no home, as long as
 * they are at most the second part of the fleet.
 */
const CUT_OFF_EXTRA_SHARE = 0.35;
const MAX_CUT_OFF_NODES_SHARE = 0.35;
/** Waits that callers are told, in ms. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2000;
/** Counts that are kept; beyond it the one unused for longest is forgotten. */
const MAX_COUNTS = 20_000;

/** Options of {@link TenantQuotas}. */
export interface ITenantQuotasOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly shares: QuotaShares;
  readonly getBounds: () => ITenantBounds;
  /** Nodes of the fleet. */
  readonly countNodes: () => number;
}

/** What a decision on a quota rests on. */
export interface IQuotaFacts {
  readonly tenant: string;
  readonly role: QuotaRole;
  /** Requests of the tenant in the window that this node let in. */
  readonly used: number;
  /** Requests that it may let in. */
  readonly part: number;
}

/** A tenant has used what this node may let in. */
export interface IQuotaRefusal {
  /** Until there is room for one more, in ms. */
  readonly retryAfterMs: number;
  readonly facts: IQuotaFacts;
}

/** Who counts: a home that sees a service's requests, or a node that reaches no home. */
export type QuotaRole = 'home' | 'cut-off';

/** Requests of one tenant at this node within the window. */
interface ITenantCount {
  readonly used: SlidingCount;
  /** From 0 to 1: rounds the part of a node that reaches no home, which may be less than one request. */
  readonly rounding: number;
}

/**
 * In each window a tenant has its rate for that time and its burst. A home spends its share of that; a
 * node that reaches no home spends a small part of what may be exceeded, so that all such nodes
 * together stay below it.
 *
 * @example
 * const refusal = quotas.spend(tenant, 'home');
 * if (refusal !== undefined) refuse(refusal.retryAfterMs);
 */
export class TenantQuotas {
  private readonly counts = new Map<string, ITenantCount>();
  private startMs: number | undefined;

  constructor(private readonly options: ITenantQuotasOptions) {}

  /** Counts a request of the tenant; returns the refusal if there is no room for it. */
  spend(tenant: ITenantRule, role: QuotaRole): IQuotaRefusal | undefined {
    const { clock, getBounds } = this.options;
    if (role === 'home') this.recordHomeRequest(tenant.name);
    const bounds = getBounds();
    const limit = computeWindowLimit(tenant, bounds);
    if (limit === undefined) return undefined;
    const nowMs = clock.getMonotonicTime();
    const count = this.getCount(tenant.name, role);
    const part = this.computeAllowance(tenant.name, limit, role, count);
    const used = count.used.count(nowMs);
    if (used + 1 > part) {
      const facts = { tenant: tenant.name, role, used, part: Math.round(part) };
      return { retryAfterMs: computeRetryAfterMs(part, bounds.quotaWindowMs), facts };
    }
    count.used.add(nowMs);
    return undefined;
  }

  /** Gives back what was counted for a request that no target has run. */
  release(tenant: string, role: QuotaRole): void {
    this.counts.get(formatKey(tenant, role))?.used.remove(this.options.clock.getMonotonicTime());
  }

  /** Counts of an earlier time as home miss what other homes have granted since. */
  private recordHomeRequest(tenant: string): void {
    const { shares } = this.options;
    shares.record(tenant);
    if (shares.startMs === this.startMs) return;
    this.startMs = shares.startMs;
    this.counts.clear();
  }

  /** What this node may let in, in a window. */
  private computeAllowance(
    tenant: string,
    { extra, homes }: IWindowLimit,
    role: QuotaRole,
    { rounding }: ITenantCount,
  ): number {
    const { countNodes, shares } = this.options;
    if (role === 'home') {
      const share = shares.getShare(tenant) + shares.getBorrowedShare(tenant);
      return homes * share * this.getRampUpFactor(tenant);
    }
    const part =
      (CUT_OFF_EXTRA_SHARE * extra) / Math.max(1, countNodes() * MAX_CUT_OFF_NODES_SHARE);
    return Math.floor(part + rounding);
  }

  /**
   * A home that takes over must not grant at once what the former one has just granted. A tenant above its
   * quota uses each window in clumps, so that its requests leave the window late.
   */
  private getRampUpFactor(tenant: string): number {
    const { clock, getBounds, shares } = this.options;
    if (!shares.hasTakenOver(tenant)) return 1;
    const passedMs = clock.getMonotonicTime() - (shares.startMs ?? 0);
    const passed = Math.min(1, passedMs / getBounds().quotaWindowMs);
    return passed * passed;
  }

  private getCount(tenant: string, role: QuotaRole): ITenantCount {
    const { getBounds, random } = this.options;
    const key = formatKey(tenant, role);
    const count = this.counts.get(key) ?? {
      used: new SlidingCount(getBounds().quotaWindowMs),
      rounding: random.getFloat(),
    };
    // Put in anew, so that it goes to the end of the order in which counts are forgotten.
    this.counts.delete(key);
    this.counts.set(key, count);
    const [oldest] = this.counts.keys();
    if (this.counts.size > MAX_COUNTS && oldest !== undefined) this.counts.delete(oldest);
    return count;
  }
}

/** On average, room for one more comes after the window divided by what it holds. */
function computeRetryAfterMs(limit: number, windowMs: number): number {
  return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, windowMs / limit)));
}

function formatKey(tenant: string, role: QuotaRole): string {
  return `${role}/${tenant}`;
}
