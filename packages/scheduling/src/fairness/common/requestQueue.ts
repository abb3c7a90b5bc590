/** The interface of queues of requests that wait for a slot. */
import type { IGrantRequest } from '../../grants/common/grant.js';

/** A request in a queue. */
export interface IQueued {
  readonly request: IGrantRequest;
}

/** Computes the rank of an item; lower ranks come first. The rank of an item may change over time. */
export type RankFunction<T> = (item: T) => number;

/** What a tenant has received and waits for, as written to the log. */
export interface IFairnessFacts {
  readonly tenant: string;
  readonly weight: number;
  /** Number of queued requests of the tenant. */
  readonly waiting: number;
  /** Virtual start of the tenant's next request after the virtual time, in ms per unit of weight. */
  readonly lead: number;
  readonly virtualTime: number;
}

/** By how much a tenant is ahead of the virtual time, in ms of processing per unit of weight. */
export interface ITenantLead {
  readonly tenant: string;
  readonly lead: number;
}

/** The leads of tenants by priority, for another home. */
export type FairnessSummary = Readonly<Record<number, readonly ITenantLead[]>>;

/** Holds the requests that wait for a slot and decides on their order. */
export abstract class RequestQueue<T extends IQueued> {
  abstract readonly size: number;

  /** Whether ranks must be one of few: the slots of each rank are divided between tenants. */
  abstract readonly needsClasses: boolean;

  abstract push(item: T): void;

  abstract remove(item: T): void;

  /** The items in the order in which they get slots; they may be removed and granted meanwhile. */
  abstract list(getRank: RankFunction<T>): Iterable<T>;

  /** A snapshot of the items. */
  abstract listAll(): readonly T[];

  abstract count(isCounted: (item: T) => boolean): number;

  /** Number of items that would get a slot before `item`, which need not be queued. */
  abstract countAhead(item: T, getRank: RankFunction<T>): number;

  /** Applies changed ranks; called several times a second. */
  abstract updateRanks(getRank: RankFunction<T>): void;

  /** Records that an item, queued before or not, is granted a slot. */
  abstract recordGrant(item: T): void;

  /** Records how long a granted item has used its slot, in ms. */
  abstract recordProcessed(item: T, processedMs: number): void;

  /** The queued item to refuse instead of `item`, which is new and would be refused; undefined if none. */
  abstract findVictim(item: T): T | undefined;

  /** Whether other items of the item's tenant are queued, and the slots are divided between several tenants. */
  abstract hasBacklog(item: T): boolean;

  /** A queued item of another tenant that arrived after `item` and comes first for its share. */
  abstract findOvertaking(item: T): T | undefined;

  /** The leads of the tenants, bounded in size, for {@link applyRemote} of another home. */
  abstract summarize(): FairnessSummary;

  /** Merges the leads that another home has reported. */
  abstract applyRemote(summary: FairnessSummary): void;

  /** The share of the item's tenant; undefined without shares. */
  abstract describeShare(item: T): IFairnessFacts | undefined;

  /** Number of tenants with queued items; 0 without shares. */
  abstract countWaitingTenants(): number;
}
