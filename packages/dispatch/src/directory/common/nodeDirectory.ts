/** A node's copies of the configuration, targets and members, with lookup tables for requests. */
import type { Clock, Event } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { INode } from '@parsleymux/fleet';
import { RendezvousPlacement } from '@parsleymux/fleet';
import type { ICatalog, ITargetRecord, ITenantRule } from '@parsleymux/scheduling';
import { isEarlierIncarnation, isSameIncarnation, isSameTenant } from '@parsleymux/scheduling';
import { RouteTable } from '../../catalog/common/routeTable.js';
import type { IMember } from './authority.js';
import type { IRestoreGrace } from './followedTable.js';
import { FollowedTable } from './followedTable.js';
import { TenantIndex } from '../../tenants/common/tenantIndex.js';
import { AnnouncedVersions } from './announcedVersions.js';
import { CatalogHistory } from './catalogHistory.js';
import { listHighCapacityMembers } from './highCapacityMembers.js';
import { TableEncoder } from './tableEncoder.js';

/** Number of ranked homes of a service: the home, and the nodes that take over in order. */
const RANKED_HOMES = 3;
const CATALOG_TABLE = 'catalog';

/**
 * Live targets write their entries again within about 2 s; the store removes the entries of others after
 * three times that interval.
 */
const TARGETS_GRACE: IRestoreGrace = { missingMs: 2000, removedMs: 6000 };
/** Nodes notice within a second that they aren't listed, and may have to retry the registration. */
const MEMBERS_GRACE: IRestoreGrace = { missingMs: 4000, removedMs: 6000 };

/**
 * Holds the replicated tables, and updates the lookup tables derived from them on each change.
 *
 * @example
 * const match = directory.routes?.match(host, path);
 */
export class NodeDirectory {
  readonly catalog: FollowedTable<ICatalog>;
  readonly targets: FollowedTable<ITargetRecord>;
  readonly members: FollowedTable<IMember>;
  /** Tenants of the configuration; without a version while requests need no keys. */
  readonly tenants: FollowedTable<ITenantRule>;
  readonly tenantIndex = new TenantIndex();
  /** Encodes the tables for other nodes. */
  readonly encoder: TableEncoder;
  /** Versions of the configuration that other nodes have in force. */
  readonly announcedVersions: AnnouncedVersions;
  private readonly history = new CatalogHistory();
  private currentCatalog: ICatalog | undefined;
  private currentRoutes: RouteTable | undefined;
  private homes = new RendezvousPlacement();
  /** Ranked followers of each failure domain, computed on first use. */
  private readonly followers = new Map<string, readonly string[]>();
  private readonly catalogChanged = new Emitter<ICatalog>();

  /** Fires when a newer configuration comes into force. */
  readonly onDidChangeCatalog: Event<ICatalog> = this.catalogChanged.onDidFire;

  constructor(clock: Clock) {
    this.announcedVersions = new AnnouncedVersions(clock);
    this.encoder = new TableEncoder({ history: this.history, catalogTable: CATALOG_TABLE });
    this.catalog = new FollowedTable({
      name: CATALOG_TABLE,
      clock,
      isSame: (left, right) => left.version === right.version,
      isOutdated: (known, next) => next.version < known.version,
      isNewer: (known, next) => next.version > known.version,
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
      isOutdated: isMemberWithoutFlag,
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

  /** Whether the tenants are at least as new as the configuration, as both are replicated separately. */
  hasCurrentTenants(): boolean {
    const { catalog, tenants } = this;
    if (tenants.version === undefined) return false;
    if (tenants.era !== catalog.era) return tenants.era > catalog.era;
    return tenants.version >= (catalog.version ?? 0);
  }

  /** Lists all tables that nodes replicate, with the tenants before the configuration that needs them. */
  listTables(): readonly FollowedTable<unknown>[] {
    const { catalog, members, targets, tenants } = this;
    return [tenants, catalog, targets, members] as unknown as FollowedTable<unknown>[];
  }

  getRoutes(): RouteTable | undefined {
    return this.currentRoutes;
  }

  /** Whether requests of a tenant may have a priority; the tenant is empty for requests without one. */
  hasPriority(tenant: string, priority: number): boolean {
    const rule = this.tenantIndex.find(tenant);
    if (tenant !== '' && rule === undefined) return false;
    if (rule?.priority !== undefined) return rule.priority === priority;
    return this.currentCatalog?.routes.some((route) => route.priority === priority) ?? false;
  }

  /** Addresses of the homes of a service in their order, on high-capacity VMs only. */
  rankHomes(service: string): readonly string[] {
    return this.homes
      .rank({ id: service, failureDomains: [] }, RANKED_HOMES)
      .map(({ address }) => address);
  }

  /**
   * Ranks the registered members of a failure domain as followers. Small VMs with slow links are ranked
   * last, because their updates to the other nodes would be late.
   */
  rankFollowers(failureDomain: string): readonly string[] {
    const known = this.followers.get(failureDomain);
    if (known !== undefined) return known;
    const inDomain = this.members.listValues().filter((member) => {
      return member.failureDomain === failureDomain;
    });
    const highCapacity = new Set(listHighCapacityMembers(inDomain));
    const others = inDomain.filter((member) => !highCapacity.has(member));
    const ranking = [...rankMembers([...highCapacity]), ...rankMembers(others)];
    this.followers.set(failureDomain, ranking);
    return ranking;
  }

  /**
   * Puts a newer configuration into force. An older one from the store or a peer is ignored, because requests
   * would be routed by rules that were withdrawn.
   */
  private applyCatalog(): void {
    for (const catalog of this.catalog.listValues()) {
      if (catalog.version <= (this.currentCatalog?.version ?? -Infinity)) continue;
      this.currentCatalog = catalog;
      this.history.record(catalog);
      this.announcedVersions.recordApplied(catalog.version);
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

/** Ignores the remaining time of a cold start, which decreases continuously. */
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

/** Whether `next` is older than `known`. A drain is never undone within an incarnation. */
function isEarlierState(known: ITargetRecord, next: ITargetRecord): boolean {
  const isDrainUndone = known.isDraining && !next.isDraining && isSameIncarnation(known, next);
  return isDrainUndone || isEarlierIncarnation(known, next);
}

function isSameMember(left: IMember, right: IMember): boolean {
  const canBothRelay = (left.canRelay === true) === (right.canRelay === true);
  const isSameIncarnation = left.incarnation === right.incarnation;
  return isSameIncarnation && left.stateAddress === right.stateAddress && canBothRelay;
}

/** Followers of an earlier version drop the flag from the registrations that they pass on. */
function isMemberWithoutFlag(known: IMember, next: IMember): boolean {
  const isLost = known.canRelay === true && next.canRelay !== true;
  return isLost && known.incarnation === next.incarnation;
}
