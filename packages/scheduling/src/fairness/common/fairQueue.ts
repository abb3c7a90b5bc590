/** Queue of requests that wait for a slot, divided between tenants. */
import type { Clock } from '@parsleymux/base';
import type { ITenantRule } from '../../catalog/common/tenant.js';
import type { FairnessSummary, IFairnessFacts, IQueued, RankFunction } from './requestQueue.js';
import { RequestQueue } from './requestQueue.js';
import type { ITenantAccount } from './fairShares.js';
import { FairShares } from './fairShares.js';
import type { IFlowEntry, TenantFlow } from './tenantFlow.js';
import { FlowLane } from './tenantFlow.js';

/** A charge is corrected if the processing time differs from the expected one by more than this factor. */
const CORRECTION_FACTOR = 2;

/** A queued request of a tenant. */
export interface ITenantQueued extends IQueued {
  readonly tenant: ITenantRule | undefined;
  /** Whether the caller was promised room, so that it isn't refused in favour of others. */
  readonly isReturnDue?: boolean;
}

/** Options of a {@link FairQueue}. */
export interface IFairQueueOptions<T> {
  readonly clock: Clock;
  /** Weights by tenant. Default: the rates of quotas. */
  readonly weights?: Readonly<Record<string, number>>;
  /** Expected processing time of a request, in ms. */
  readonly getCostMs: (item: T) => number;
}

interface IQueueEntry<T> extends IFlowEntry<T> {
  readonly level: IPriorityLevel<T>;
  rank: number;
}

interface ICharge<T> {
  readonly account: ITenantAccount;
  readonly level: IPriorityLevel<T>;
  readonly costMs: number;
}

/** The queued requests of one priority. */
interface IPriorityLevel<T> {
  readonly priority: number;
  readonly shares: FairShares;
  /** Sorted by rank. */
  readonly lanes: { readonly rank: number; readonly lane: FlowLane<T> }[];
}

/**
 * Requests are ordered by priority, rank, and virtual start of their tenants. Ranks are computed again by
 * {@link updateRanks}, and for each request whose turn it is.
 *
 * @example
 * const queue = new FairQueue<Ticket>({ clock, getCostMs: () => 200 });
 * queue.push(ticket);
 */
export class FairQueue<T extends ITenantQueued> extends RequestQueue<T> {
  override readonly needsClasses = true;
  private readonly entries = new Map<T, IQueueEntry<T>>();
  private readonly charges = new WeakMap<T, ICharge<T>>();
  /** Sorted by priority. */
  private readonly levels: IPriorityLevel<T>[] = [];
  private sequence = 0;

  constructor(private readonly options: IFairQueueOptions<T>) {
    super();
  }

  override get size(): number {
    return this.entries.size;
  }

  override push(item: T): void {
    this.sequence += 1;
    const { sequence } = this;
    const level = this.getLevel(item.request.priority);
    const account = level.shares.getAccount(item.tenant);
    level.shares.addWaiting(account);
    const costMs = this.options.getCostMs(item);
    const entry: IQueueEntry<T> = { item, sequence, costMs, account, level, rank: 0 };
    this.entries.set(item, entry);
    this.getLane(level, entry.rank).add(entry);
  }

  override remove(item: T): void {
    const entry = this.entries.get(item);
    if (entry === undefined) return;
    this.entries.delete(item);
    this.getLane(entry.level, entry.rank).remove(entry);
    entry.level.shares.removeWaiting(entry.account);
  }

  override listAll(): readonly T[] {
    return [...this.entries.keys()];
  }

  override *list(getRank: RankFunction<T>): Iterable<T> {
    this.updateLoneRanks(getRank);
    for (const level of this.levels) {
      for (const { lane, rank } of level.lanes) {
        if (lane.size === 0) continue;
        for (const { item } of lane.list()) {
          // A request that has lost its rank is yielded with those of its new rank.
          if (this.updateRank(item, getRank) > rank) continue;
          yield item;
        }
      }
    }
  }

  override count(isCounted: (item: T) => boolean): number {
    let count = 0;
    for (const item of this.entries.keys()) if (isCounted(item)) count += 1;
    return count;
  }

  override countAhead(item: T, getRank: RankFunction<T>): number {
    if (this.size === 0) return 0;
    this.updateLoneRanks(getRank);
    const { priority } = item.request;
    const rank = getRank(item);
    let ahead = 0;
    for (const level of this.levels) {
      if (level.priority > priority) break;
      for (const { lane, rank: laneRank } of level.lanes) {
        if (level.priority < priority || laneRank < rank) ahead += lane.size;
        else if (laneRank === rank) ahead += this.countAheadInLane(item, level, lane);
      }
    }
    return ahead;
  }

  override updateRanks(getRank: RankFunction<T>): void {
    for (const item of this.entries.keys()) this.updateRank(item, getRank);
  }

  override recordGrant(item: T): void {
    const level = this.getLevel(item.request.priority);
    const account = level.shares.getAccount(item.tenant);
    const costMs = this.options.getCostMs(item);
    // The request itself is not waiting any more, but its start is that of its tenant.
    const earliest = Math.min(...level.lanes.map(({ lane }) => lane.earliestStart));
    level.shares.recordCharge(account, costMs, earliest);
    this.updateTenant(level, account);
    this.charges.set(item, { account, costMs, level });
  }

  override recordProcessed(item: T, processedMs: number): void {
    const charge = this.charges.get(item);
    if (charge === undefined) return;
    this.charges.delete(item);
    const { account, costMs, level } = charge;
    const isExpected =
      processedMs <= costMs * CORRECTION_FACTOR && processedMs >= costMs / CORRECTION_FACTOR;
    if (isExpected) return;
    level.shares.recordCorrection(account, processedMs - costMs);
    this.updateTenant(level, account);
  }

  /** The last request of the tenant furthest beyond its share, if that is further than `item`'s tenant. */
  override findVictim(item: T): T | undefined {
    const level = this.getLevel(item.request.priority);
    const account = level.shares.getAccount(item.tenant);
    let latest = level.shares.getStart(account, this.countQueuedMs(level, account));
    let victim: T | undefined;
    for (const { lane } of level.lanes) {
      for (const flow of lane.flows) {
        const start = flow.getStart(flow.entries.size - 1);
        if (flow.account === account || start <= latest) continue;
        const last = findRefusable(flow);
        if (last === undefined) continue;
        latest = start;
        victim = last;
      }
    }
    return victim;
  }

  override describeShare(item: T): IFairnessFacts {
    const { shares } = this.getLevel(item.request.priority);
    const account = shares.getAccount(item.tenant);
    return {
      tenant: account.tenant,
      weight: account.weight,
      waiting: account.waiting,
      lead: Math.round(shares.getStart(account) - shares.virtualTime),
      virtualTime: Math.round(shares.virtualTime),
    };
  }

  override countWaitingTenants(): number {
    const tenants = new Set<string>();
    for (const { account } of this.entries.values()) tenants.add(account.tenant);
    return tenants.size;
  }

  override hasBacklog(item: T): boolean {
    const { shares } = this.getLevel(item.request.priority);
    const others = this.entries.has(item) ? 1 : 0;
    return shares.size > 1 && shares.getAccount(item.tenant).waiting > others;
  }

  override findOvertaking(item: T): T | undefined {
    const entry = this.entries.get(item);
    if (entry === undefined) return undefined;
    const { finish } = entry.account;
    for (const flow of this.getLane(entry.level, entry.rank).flows) {
      const last = flow.entries.get(-1);
      if (flow.account === entry.account || flow.start > finish || last === undefined) continue;
      if (last.sequence > entry.sequence) return last.item;
    }
    return undefined;
  }

  override summarize(): FairnessSummary {
    return Object.fromEntries(
      this.levels.map(({ priority, shares }) => [priority, shares.summarize()]),
    );
  }

  override applyRemote(summary: FairnessSummary): void {
    for (const [priority, leads] of Object.entries(summary)) {
      if (!Number.isInteger(Number(priority))) continue;
      this.getLevel(Number(priority)).shares.applyRemote(leads);
    }
  }

  /** With a single tenant the ranks alone decide, so that they have to be exact. */
  private updateLoneRanks(getRank: RankFunction<T>): void {
    if (this.levels.every(({ shares }) => shares.size <= 1)) this.updateRanks(getRank);
  }

  private updateRank(item: T, getRank: RankFunction<T>): number {
    const entry = this.entries.get(item);
    const rank = getRank(item);
    if (entry === undefined || entry.rank === rank) return rank;
    this.getLane(entry.level, entry.rank).remove(entry);
    entry.rank = rank;
    this.getLane(entry.level, rank).add(entry);
    return rank;
  }

  private updateTenant(level: IPriorityLevel<T>, { tenant }: ITenantAccount): void {
    for (const { lane } of level.lanes) lane.update(tenant);
  }

  private countAheadInLane(item: T, level: IPriorityLevel<T>, lane: FlowLane<T>): number {
    const account = level.shares.getAccount(item.tenant);
    const own = lane.findFlow(account.tenant);
    const start = level.shares.getStart(account, own?.costMs);
    let ahead = own?.entries.size ?? 0;
    for (const flow of lane.flows) if (flow !== own) ahead += flow.countUntil(start);
    return Math.max(ahead, level.shares.countGrantsUntil(start));
  }

  private countQueuedMs({ lanes }: IPriorityLevel<T>, { tenant }: ITenantAccount): number {
    return lanes.reduce((sum, { lane }) => sum + (lane.findFlow(tenant)?.costMs ?? 0), 0);
  }

  private getLevel(priority: number): IPriorityLevel<T> {
    const index = this.levels.findIndex((level) => level.priority >= priority);
    const found = this.levels[index];
    if (found?.priority === priority) return found;
    const level = {
      priority,
      shares: new FairShares(this.options.clock, this.options.weights),
      lanes: [],
    };
    this.levels.splice(index < 0 ? this.levels.length : index, 0, level);
    return level;
  }

  private getLane({ lanes }: IPriorityLevel<T>, rank: number): FlowLane<T> {
    const index = lanes.findIndex((candidate) => candidate.rank >= rank);
    const found = lanes[index];
    if (found?.rank === rank) return found.lane;
    const lane = new FlowLane<T>();
    lanes.splice(index < 0 ? lanes.length : index, 0, { rank, lane });
    return lane;
  }
}

/** The last request that can be refused: a refusal of a second attempt would state that the first has not run. */
function findRefusable<T extends ITenantQueued>({ entries }: TenantFlow<T>): T | undefined {
  for (let index = entries.size - 1; index >= 0; index -= 1) {
    const item = entries.get(index)?.item;
    if (item === undefined || item.isReturnDue === true) continue;
    if (item.request.attempt <= 1) return item;
  }
  return undefined;
}
