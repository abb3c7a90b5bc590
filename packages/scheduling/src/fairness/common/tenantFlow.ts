/** Queued requests of one tenant, and the tenants of one rank in the order in which they get slots. */
import { SortedList } from '../../statistics/common/sortedList.js';
import type { ITenantAccount } from './fairShares.js';

/** A queued request. */
export interface IFlowEntry<T> {
  readonly item: T;
  /** Position in the order of arrival. */
  readonly sequence: number;
  /** Expected processing time, in ms. */
  readonly costMs: number;
  readonly account: ITenantAccount;
}

/** The queued requests of one tenant, of one priority and rank, in order of arrival. */
export class TenantFlow<T> {
  readonly entries = new SortedList<IFlowEntry<T>>((left, right) => left.sequence - right.sequence);
  /** Expected processing time of all entries, in ms. */
  costMs = 0;
  /** The virtual start and arrival by which the flow is sorted at present. */
  start = 0;
  sequence = 0;

  constructor(readonly account: ITenantAccount) {}

  get meanCostMs(): number {
    return this.entries.size === 0 ? 0 : this.costMs / this.entries.size;
  }

  /** Estimated virtual start of the entry at `index`. */
  getStart(index: number): number {
    return this.account.finish + (index * this.meanCostMs) / this.account.weight;
  }

  /** Number of entries whose estimated start is at most `start`. */
  countUntil(start: number): number {
    const passed = start - this.account.finish;
    if (passed < 0) return 0;
    const step = Math.max(Number.EPSILON, this.meanCostMs / this.account.weight);
    return Math.min(this.entries.size, Math.floor(passed / step) + 1);
  }
}

/** The position of a pass in a flow. */
interface IFlowCursor<T> {
  readonly flow: TenantFlow<T>;
  /** Entries that the pass has left waiting. */
  skipped: number;
  start: number;
  sequence: number;
}

interface IPosition {
  readonly start: number;
  readonly sequence: number;
}

/**
 * The tenants with queued requests of one priority and rank, by virtual start.
 *
 * @example
 * lane.add(entry);
 * for (const entry of lane.list()) settle(entry);
 */
export class FlowLane<T> {
  private readonly byTenant = new Map<string, TenantFlow<T>>();
  private readonly sorted = new SortedList<TenantFlow<T>>(comparePositions);
  size = 0;

  get flows(): Iterable<TenantFlow<T>> {
    return this.byTenant.values();
  }

  /** The earliest virtual start; Infinity for an empty lane. */
  get earliestStart(): number {
    return this.sorted.get(0)?.start ?? Infinity;
  }

  findFlow(tenant: string): TenantFlow<T> | undefined {
    return this.byTenant.get(tenant);
  }

  add(entry: IFlowEntry<T>): void {
    const { account, costMs } = entry;
    const flow = this.byTenant.get(account.tenant) ?? new TenantFlow<T>(account);
    this.byTenant.set(account.tenant, flow);
    this.size += 1;
    this.updateFlow(flow, () => {
      flow.entries.add(entry);
      flow.costMs += costMs;
    });
  }

  remove(entry: IFlowEntry<T>): void {
    const flow = this.byTenant.get(entry.account.tenant);
    if (flow === undefined) return;
    this.size -= 1;
    this.updateFlow(flow, () => {
      flow.entries.remove(entry);
      flow.costMs -= entry.costMs;
    });
    if (flow.entries.size === 0) this.byTenant.delete(entry.account.tenant);
  }

  /** Sorts a tenant again after its account has changed. */
  update(tenant: string): void {
    const flow = this.byTenant.get(tenant);
    if (flow !== undefined) this.updateFlow(flow, () => undefined);
  }

  /**
   * Yields entries in the order in which they get slots. Entries may be removed and charged meanwhile; one
   * that stays is counted as if it were charged, so that the next one is that of the next tenant.
   */
  *list(): Iterable<IFlowEntry<T>> {
    const flows = this.sorted.list();
    const visited = new SortedList<IFlowCursor<T>>(comparePositions);
    let next = 0;
    for (;;) {
      const cursor = this.chooseCursor(flows[next], visited.get(0));
      if (cursor === undefined) return;
      if (cursor.flow === flows[next]) next += 1;
      else visited.remove(cursor);
      const { account, entries } = cursor.flow;
      const entry = entries.get(cursor.skipped);
      if (entry === undefined) continue;
      yield entry;
      if (entries.get(cursor.skipped) === entry) {
        cursor.skipped += 1;
        cursor.start += entry.costMs / account.weight;
      } else cursor.start = Math.max(cursor.start, account.finish);
      cursor.sequence = entries.get(cursor.skipped)?.sequence ?? Infinity;
      if (entries.size > cursor.skipped) visited.add(cursor);
    }
  }

  private chooseCursor(
    flow: TenantFlow<T> | undefined,
    visited: IFlowCursor<T> | undefined,
  ): IFlowCursor<T> | undefined {
    if (flow === undefined) return visited;
    if (visited !== undefined && comparePositions(visited, flow) < 0) return visited;
    return { flow, skipped: 0, start: flow.start, sequence: flow.sequence };
  }

  private updateFlow(flow: TenantFlow<T>, change: () => void): void {
    if (flow.entries.size > 0) this.sorted.remove(flow);
    change();
    const first = flow.entries.get(0);
    if (first === undefined) return;
    flow.start = flow.account.finish;
    flow.sequence = first.sequence;
    this.sorted.add(flow);
  }
}

function comparePositions(left: IPosition, right: IPosition): number {
  return left.start === right.start ? left.sequence - right.sequence : left.start - right.start;
}
