/** What a node knows of configuration, targets and members, ready to be asked for each request. */
import type { Clock, Event } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { INode } from '@parsleymux/fleet';
import { RendezvousPlacement } from '@parsleymux/fleet';
import type { ICatalog, ITargetRecord } from '../../catalog/common/catalog.js';
import { isEarlierIncarnation, isSameIncarnation } from '../../catalog/common/catalog.js';
import { RouteTable } from '../../catalog/common/routeTable.js';
import type { IMember } from './authority.js';
import type { IRestoreGrace } from './followedTable.js';
import { FollowedTable } from './followedTable.js';
import type { ITenantRule } from '../../tenants/common/tenant.js';
import { isSameTenant } from '../../tenants/common/tenant.js';
import { TenantIndex } from '../../tenants/common/tenantIndex.js';
import { listHighCapacityMembers } from './highCapacityMembers.js';

/** Homes of a service that are ranked: the home, and those that take over one after the other. */
const RANKED_HOMES = 3;

/**
 * Targets that live write their entries again within about 2 s; the store itself removes those of silent ones
 * after three times their usual pause.
 */
const TARGETS_GRACE: IRestoreGrace = { missingMs: 2000, removedMs: 6000 };
/** Nodes miss themselves on the list within a second, and may have to try again. */
const MEMBERS_GRACE: IRestoreGrace = { missingMs: 4000, removedMs: 6000 };

/**
 * Derives look-up tables once for each change.
 *
 * @example
 * const match = directory.routes?.match(host, path);
 */
export class NodeDirectory {
  readonly catalog: FollowedTable<ICatalog>;
  readonly targets: FollowedTable<ITargetRecord>;
  readonly members: FollowedTable<IMember>;
  /** Tenants of the configuration; has no version while requests need no keys. */
  readonly tenants: FollowedTable<ITenantRule>;
  readonly tenantIndex = new TenantIndex();
  private currentCatalog: ICatalog | undefined;
  private currentRoutes: RouteTable | undefined;
  private homes = new RendezvousPlacement();
  /** Followers of each failure domain in their order, computed when asked for first. */
  private readonly followers = new Map<string, readonly string[]>();
  private readonly catalogChanged = new Emitter<ICatalog>();

  /** Fires when a newer configuration is in force. */
  readonly onDidChangeCatalog: Event<ICatalog> = this.catalogChanged.onDidFire;

  constructor(clock: Clock) {
    this.catalog = new FollowedTable({
      name: 'catalog',
      clock,
      isSame: (left, right) => left.version === right.version,
      isOutdated: (known, next) => next.version < known.version,
      restoreGrace: { missingMs: Infinity, removedMs: 0 },
    });
    this.targets = new FollowedTable({
      name: 'targets',
      clock,
      isSame: isSameTarget,
      isOutdated: isEarlierState,
      restoreGrace: TARGETS_GRACE,
    });
    this.members = new FollowedTable({
      name: 'members',
      clock,
      isSame: isSameMember,
      restoreGrace: MEMBERS_GRACE,
    });
    this.tenants = new FollowedTable({ name: 'tenants', clock, isSame: isSameTenant });
    this.tenants.onDidChange((changes) => {
      this.tenantIndex.apply(changes);
    });
    this.catalog.onDidChange(() => {
      this.applyCatalog();
    });
    this.members.onDidChange(() => {
      this.homes = makePlacement(listHighCapacityMembers(this.members.listValues(), RANKED_HOMES));
      this.followers.clear();
    });
  }

  /** The configuration in force; undefined until one is known. */
  getCatalog(): ICatalog | undefined {
    return this.currentCatalog;
  }

  /** Whether the tenants are at least as new as the configuration; they may come separately. */
  hasCurrentTenants(): boolean {
    const { catalog, tenants } = this;
    if (tenants.version === undefined) return false;
    if (tenants.era !== catalog.era) return tenants.era > catalog.era;
    return tenants.version >= (catalog.version ?? 0);
  }

  /** All tables that nodes replicate to each other, the tenants before the configuration that needs them. */
  listTables(): readonly FollowedTable<unknown>[] {
    const { catalog, members, targets, tenants } = this;
    return [tenants, catalog, targets, members] as unknown as FollowedTable<unknown>[];
  }

  getRoutes(): RouteTable | undefined {
    return this.currentRoutes;
  }

  /** Addresses of the homes of a service, best first; strong VMs only. */
  rankHomes(service: string): readonly string[] {
    return this.homes
      .rank({ id: service, failureDomains: [] }, RANKED_HOMES)
      .map(({ address }) => address);
  }

  /**
   * Followers of a failure domain in their order, of its members that are registered: a weak VM
   * with a thin link comes after all others, for it would be late with its updates to each.
   */
  rankFollowers(failureDomain: string): readonly string[] {
    const known = this.followers.get(failureDomain);
    if (known !== undefined) return known;
    const inDomain = this.members.listValues().filter((member) => {
      return member.failureDomain === failureDomain;
    });
    const strong = new Set(listHighCapacityMembers(inDomain));
    const weak = inDomain.filter((member) => !strong.has(member));
    const ranking = [...rankMembers([...strong]), ...rankMembers(weak)];
    this.followers.set(failureDomain, ranking);
    return ranking;
  }

  /**
   * A configuration in force is never replaced by an older one, whatever a store or peer says:
   * requests would be routed by rules that were already withdrawn.
   */
  private applyCatalog(): void {
    for (const catalog of this.catalog.listValues()) {
      if (catalog.version <= (this.currentCatalog?.version ?? -Infinity)) continue;
      this.currentCatalog = catalog;
      this.currentRoutes = new RouteTable(catalog.routes);
      this.catalogChanged.fire(catalog);
    }
  }
}

function makePlacement(members: readonly IMember[]): RendezvousPlacement {
  const placement = new RendezvousPlacement();
  placement.setNodes(members.map(toNode));
  return placement;
}

function rankMembers(members: readonly IMember[]): readonly string[] {
  return makePlacement(members)
    .rank({ id: 'followers', failureDomains: [] }, members.length)
    .map(({ address }) => address);
}

function toNode(member: IMember): INode {
  return { address: member.address, failureDomain: member.failureDomain };
}

/** What is left of a cold start shrinks all the time; that alone is no change. */
function isSameTarget(left: ITargetRecord, right: ITargetRecord): boolean {
  return (
    isSameIncarnation(left, right) &&
    left.isDraining === right.isDraining &&
    left.address === right.address &&
    left.service === right.service &&
    left.slots === right.slots &&
    left.failureDomain === right.failureDomain
  );
}

/** A target never takes back in the same life that it leaves. */
function isEarlierState(known: ITargetRecord, next: ITargetRecord): boolean {
  const isTakenBack = known.isDraining && !next.isDraining && isSameIncarnation(known, next);
  return isTakenBack || isEarlierIncarnation(known, next);
}

function isSameMember(left: IMember, right: IMember): boolean {
  return left.incarnation === right.incarnation && left.stateAddress === right.stateAddress;
}
