/** Virtual times of the tenants that compete for the slots of one service at one priority. */
import type { Clock } from '@parsleymux/base';
import type { ITenantRule } from '../../catalog/common/tenant.js';
import type { ITenantLead } from './requestQueue.js';

/** Weight of a tenant without a quota while no tenant with one is known. */
const FALLBACK_WEIGHT = 1;
/** Number of accounts at which those without a lead, or unused for a time, are removed. */
const MAX_ACCOUNTS = 1024;
/** Time after which an unused account may be removed, in ms: without a queue the virtual time may stand still. */
const MAX_UNUSED_MS = 10_000;
/** Maximum number of tenants in a summary. */
const MAX_SUMMARY_TENANTS = 64;
/** Longest lead that is taken over from another home, in ms of processing per unit of weight. */
const MAX_REMOTE_LEAD = 10_000;

/** A tenant may save the share that it has not used for this long, in ms. */
const SAVING_MS = 1000;
/** Resolution of the past virtual times, in ms. */
const SAVING_STEP_MS = 50;
/** Number of grants over which the pace of the virtual time is averaged. */
const PACE_GRANTS = 64;

/** What a tenant has received. */
export interface ITenantAccount {
  /** Name of the tenant; empty for requests without one. */
  readonly tenant: string;
  readonly weight: number;
  /** Virtual time at which the processing granted so far ends, in ms per unit of weight. */
  readonly finish: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Processing that was charged, in ms. */
  readonly chargedMs: number;
}

interface IMutableAccount extends ITenantAccount {
  weight: number;
  finish: number;
  waiting: number;
  chargedMs: number;
  hasQuota: boolean;
  /** Time of the last charge, in ms. */
  usedMs: number;
}

/**
 * Start-time fair queueing: a request's start is the finish of the tenant's previous one, or the virtual time
 * of a second ago if that is later, so that a tenant within its share may send several requests at once; its
 * finish is later by its cost divided by the weight. The virtual time is the latest start that was granted, but
 * no later than the start of any waiting request; while requests wait, it advances with each grant at least by
 * its cost divided by the weight of all tenants. What a tenant used of free slots more than a second ago
 * doesn't count.
 *
 * @example
 * const account = shares.getAccount(tenant);
 * shares.recordCharge(account, 200);
 */
export class FairShares {
  private readonly accounts = new Map<string, IMutableAccount>();
  private time = 0;
  /** Past virtual times, oldest first; the first one is at least as old as unused shares are saved. */
  private readonly past: { readonly atMs: number; readonly time: number }[] = [];
  /** Mean advance of the virtual time with each grant while requests wait; 0 if unknown. */
  private pace = 0;
  private quotaWeights = 0;
  private quotaTenants = 0;
  private prunedAt = MAX_ACCOUNTS;

  /** `weights` by tenant take precedence over the rates of quotas. */
  constructor(
    private readonly clock: Clock,
    private readonly weights: Readonly<Record<string, number>> = {},
  ) {}

  /** Number of tenants with an account. */
  get size(): number {
    return this.accounts.size;
  }

  get virtualTime(): number {
    return this.time;
  }

  /** The account of a tenant, with the weight that applies now; undefined is a request without a tenant. */
  getAccount(rule: ITenantRule | undefined): ITenantAccount {
    return this.openAccount(rule?.name ?? '', rule);
  }

  /** The virtual start of the tenant's next request if `queuedMs` of its processing are ahead of that. */
  getStart({ finish, waiting, weight }: ITenantAccount, queuedMs = 0): number {
    const start = waiting > 0 ? finish : Math.max(finish, this.getEarliestStart());
    return start + queuedMs / weight;
  }

  /** Counts a queued request. */
  addWaiting(account: ITenantAccount): void {
    const own = account as IMutableAccount;
    own.finish = this.getStart(own);
    own.waiting += 1;
  }

  removeWaiting(account: ITenantAccount): void {
    (account as IMutableAccount).waiting -= 1;
  }

  /**
   * Charges a granted request. `earliestWaiting` is the earliest start of the requests that are queued;
   * Infinity without any.
   */
  recordCharge(account: ITenantAccount, costMs: number, earliestWaiting = Infinity): void {
    const own = account as IMutableAccount;
    const start = this.getStart(own);
    own.finish = start + costMs / own.weight;
    own.chargedMs += costMs;
    own.usedMs = this.clock.getMonotonicTime();
    let time = Math.max(this.time, Math.min(start, earliestWaiting));
    if (earliestWaiting < Infinity) {
      // New tenants that come one after the other would stop the virtual time, and others would never be served.
      time = Math.max(time, this.time + costMs / this.computeTotalWeight());
      this.recordPace(time - this.time);
    }
    this.recordTime(time);
  }

  /**
   * Estimated number of grants until the virtual time reaches `start`. Includes requests that have not arrived
   * yet and whose tenants will come first.
   */
  countGrantsUntil(start: number): number {
    // A tenant alone has no other that might come first.
    const isKnown = this.pace > 0 && this.accounts.size > 1;
    return isKnown ? Math.max(0, Math.floor((start - this.time) / this.pace)) : 0;
  }

  /** Corrects a charge by a difference that may be negative. */
  recordCorrection(account: ITenantAccount, differenceMs: number): void {
    const own = account as IMutableAccount;
    own.finish += differenceMs / own.weight;
    own.chargedMs += differenceMs;
  }

  /** The tenants that would not start like a new one, furthest ahead first. */
  summarize(): readonly ITenantLead[] {
    const earliest = this.getEarliestStart();
    return [...this.accounts.values()]
      .map(({ finish, tenant }) => ({ tenant, lead: finish - earliest }))
      .filter(({ lead }) => lead > 0)
      .sort((left, right) => right.lead - left.lead)
      .slice(0, MAX_SUMMARY_TENANTS);
  }

  /**
   * Merges what another home has granted to tenants: the longer lead counts, so that a summary that arrives
   * twice, or in another order, changes nothing. Call it before the requests of these tenants are queued.
   */
  applyRemote(leads: readonly ITenantLead[]): void {
    const earliest = this.getEarliestStart();
    for (const { lead, tenant } of leads.slice(0, MAX_SUMMARY_TENANTS)) {
      if (!Number.isFinite(lead) || lead <= 0) continue;
      const account = this.accounts.get(tenant) ?? this.openAccount(tenant, undefined);
      if (account.waiting > 0) continue;
      account.finish = Math.max(account.finish, earliest + Math.min(lead, MAX_REMOTE_LEAD));
    }
  }

  /** The virtual time of {@link SAVING_MS} ago. */
  private getEarliestStart(): number {
    const { past } = this;
    const sinceMs = this.clock.getMonotonicTime() - SAVING_MS;
    while ((past[1]?.atMs ?? Infinity) <= sinceMs) past.shift();
    const [oldest] = past;
    return oldest === undefined ? this.time : Math.min(this.time, oldest.time);
  }

  private recordTime(time: number): void {
    const atMs = this.clock.getMonotonicTime();
    if (atMs - (this.past.at(-1)?.atMs ?? -Infinity) >= SAVING_STEP_MS) {
      this.past.push({ atMs, time: this.time });
    }
    this.time = time;
  }

  private recordPace(advance: number): void {
    this.pace += (advance - this.pace) / PACE_GRANTS;
  }

  private openAccount(tenant: string, rule: ITenantRule | undefined): IMutableAccount {
    let account = this.accounts.get(tenant);
    if (account === undefined) {
      this.removeSettled();
      const finish = this.getEarliestStart();
      const usedMs = this.clock.getMonotonicTime();
      account = { tenant, weight: 0, finish, waiting: 0, chargedMs: 0, hasQuota: false, usedMs };
      this.accounts.set(tenant, account);
    }
    this.setWeight(account, this.weights[tenant] ?? rule?.ratePerS);
    return account;
  }

  /** A tenant without a quota has the mean weight of those that have one. */
  private setWeight(account: IMutableAccount, weight: number | undefined): void {
    if (account.hasQuota && account.weight === weight) return;
    this.removeWeight(account);
    account.hasQuota = weight !== undefined && weight > 0;
    if (account.hasQuota && weight !== undefined) {
      account.weight = weight;
      this.quotaWeights += weight;
      this.quotaTenants += 1;
    } else {
      account.weight = this.computeMeanWeight();
    }
  }

  /** Weight of all accounts; those without a quota have the mean of the others. */
  private computeTotalWeight(): number {
    return this.computeMeanWeight() * Math.max(1, this.accounts.size);
  }

  private computeMeanWeight(): number {
    return this.quotaTenants > 0 ? this.quotaWeights / this.quotaTenants : FALLBACK_WEIGHT;
  }

  private removeWeight({ hasQuota, weight }: IMutableAccount): void {
    if (!hasQuota) return;
    this.quotaWeights -= weight;
    this.quotaTenants -= 1;
  }

  /** Removes accounts that a new one would equal, and unused ones. */
  private removeSettled(): void {
    if (this.accounts.size < this.prunedAt) return;
    const earliest = this.getEarliestStart();
    const sinceMs = this.clock.getMonotonicTime() - MAX_UNUSED_MS;
    for (const [tenant, account] of this.accounts) {
      const { finish, usedMs, waiting } = account;
      if (waiting > 0 || (finish > earliest && usedMs > sinceMs)) continue;
      this.removeWeight(account);
      this.accounts.delete(tenant);
    }
    this.prunedAt = Math.max(MAX_ACCOUNTS, 2 * this.accounts.size);
  }
}
