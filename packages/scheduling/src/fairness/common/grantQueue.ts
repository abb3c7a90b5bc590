/** Queue of requests that wait for a slot, ordered by priority and then by rank. */
import type { FairnessSummary, IQueued, RankFunction } from './requestQueue.js';
import { RequestQueue } from './requestQueue.js';

/**
 * A plain list: a home rejects requests before the queue becomes long.
 *
 * @example
 * queue.push(ticket);
 * for (const waiting of queue.list(getRank)) settle(waiting);
 */
export class GrantQueue<T extends IQueued> extends RequestQueue<T> {
  override readonly needsClasses = false;
  /** In order of arrival. */
  private items: T[] = [];

  override get size(): number {
    return this.items.length;
  }

  override push(item: T): void {
    this.items.push(item);
  }

  override remove(item: T): void {
    this.items = this.items.filter((candidate) => candidate !== item);
  }

  /** A snapshot of the items, ordered by priority, rank and arrival. */
  override list(getRank: RankFunction<T>): readonly T[] {
    if (this.items.length < 2) return [...this.items];
    const ranked = this.items.map((item) => ({ item, rank: getRank(item) }));
    ranked.sort((left, right) => {
      const byPriority = left.item.request.priority - right.item.request.priority;
      return byPriority === 0 ? left.rank - right.rank : byPriority;
    });
    return ranked.map(({ item }) => item);
  }

  override listAll(): readonly T[] {
    return this.list(() => 0);
  }

  override count(isCounted: (item: T) => boolean): number {
    return this.items.filter(isCounted).length;
  }

  /** Number of items that would get a slot before a new one. */
  override countAhead(item: T, getRank: RankFunction<T>): number {
    if (this.items.length === 0) return 0;
    const { priority } = item.request;
    const rank = getRank(item);
    return this.items.filter((other) => {
      if (other.request.priority !== priority) return other.request.priority < priority;
      return getRank(other) <= rank;
    }).length;
  }

  override updateRanks(): void {
    // Ranks are computed by each list.
  }

  override recordGrant(): void {
    // Without shares.
  }

  override recordProcessed(): void {
    // Without shares.
  }

  override findVictim(): undefined {
    return undefined;
  }

  override hasBacklog(): boolean {
    return false;
  }

  override findOvertaking(): undefined {
    return undefined;
  }

  override describeShare(): undefined {
    return undefined;
  }

  override countWaitingTenants(): number {
    return 0;
  }

  override summarize(): FairnessSummary {
    return {};
  }

  override applyRemote(): void {
    // Without shares.
  }
}
