/** Keeps a node's directory up to date from the store or from followers, and registers the node. */
import type { Clock, IDisposable, Logger, RandomSource } from '@parsleymux/base';
import { ResponseTimes } from '@parsleymux/base';
import { create } from '@bufbuild/protobuf';
import type { Update, UpdateReceived } from '@parsleymux/schema';
import { HelloSchema, LeavingSchema } from '@parsleymux/schema';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import type { Authority, IMember } from '../common/authority.js';
import { CatalogSource } from '../common/catalogSource.js';
import type { FollowedTable } from '../common/followedTable.js';
import { FollowerRole } from '../common/followerRole.js';
import { MemberRegistration } from '../common/memberRegistration.js';
import type { NodeDirectory } from '../common/nodeDirectory.js';
import type { IPollTiming } from '../common/storeFollower.js';
import { MAX_OVERDUE_MS, StoreFollower } from '../common/storeFollower.js';
import { TableFetcher } from '../common/tableFetcher.js';
import type { TableTransport } from '../common/tableTransport.js';
import { UpdateRelay } from '../common/updateRelay.js';
import { UpdateSupervisor } from '../common/updateSupervisor.js';

/**
 * Reads are billed, so targets are read no more often than needed: all nodes have to receive the drain of a
 * target within 2 s, of which the takeover from a crashed follower takes 1.3 s.
 */
const TARGETS_POLLING: IPollTiming = { pauseMs: 850, waitMs: 0 };
/** Long polls; the wait bounds how long a dead connection can hide a change. */
const CATALOG_POLLING: IPollTiming = { pauseMs: 10, waitMs: 1500 };
const MEMBERS_POLLING: IPollTiming = { pauseMs: 300, waitMs: 10_000 };
/** A peer that confirmed no update for this long, in ms, is considered crashed; the time of five updates. */
const SILENT_PEER_MS = 4500;
/**
 * How long after its start a fleet is considered new, in ms. While its nodes register, each registration may
 * change the followers, so copies get older than usual.
 */
const NEW_FLEET_MS = 5000;
/**
 * How much older than usual copies may get in a new fleet, in ms; no caller is waiting yet. Without it, half
 * of a large fleet would read all tables from the store.
 */
const NEW_FLEET_EXTRA_AGE_MS = 2500;

/** Number of followers from which a starting node requests an update: the first and its successor. */
const MAX_HELLOS = 2;
/** A starting node reads the store itself after this time, in ms: that of two updates of a follower. */
const HELLO_WAIT_MS = 1500;
/** Interval at which a node without tables sends hellos to the seeds, in ms; it reads the store first. */
const SEED_REQUEST_INTERVAL_MS = 400;
/** Longest long poll of the configuration, as a share of the lease on keys. */
const LONG_POLL_LEASE_SHARE = 0.125;
/** Age of the last freshness proof, as a share of the lease on keys, at which another is due immediately. */
const URGENT_PROOF_SHARE = 0.5;
const LEAVING = create(LeavingSchema);
const HELLO = create(HelloSchema);

/** Options of a {@link DirectoryService}. */
export interface IDirectoryServiceOptions {
  readonly directory: NodeDirectory;
  readonly authority: Authority;
  readonly channel: DatagramChannel;
  /** Transfers whole tables from peers. */
  readonly transport: TableTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly self: IMember;
  /** Whether the whole fleet starts for the first time, so that no caller is waiting. */
  readonly isFirstStart: boolean;
  /** Datagram addresses of nodes that may be running. */
  readonly seeds: readonly string[];
  /** How long keys are valid without a new freshness proof, in ms; undefined: without limit. */
  readonly keyLeaseMs?: number | undefined;
  /** Returns the time in which a change has to be in force on all nodes, in ms. Default: without limit. */
  readonly getApplyMs?: () => number;
  /** Whether this node has received a request, from a caller or from a node on behalf of one. */
  readonly hasReceivedRequests: () => boolean;
}

/**
 * Runs all background loops of the directory.
 *
 * @example
 * await new DirectoryService(options).run(signal);
 */
export class DirectoryService implements IDisposable {
  private readonly role: FollowerRole;
  private readonly registration: MemberRegistration;
  private readonly relay: UpdateRelay;
  private readonly targetsFollower: StoreFollower<unknown>;
  private readonly catalogFollower: StoreFollower<unknown>;
  private readonly membersFollower: StoreFollower<unknown>;
  private readonly supervisor: UpdateSupervisor;
  private readonly startMs: number;
  private readonly responseTimes = new ResponseTimes(MAX_OVERDUE_MS);
  private helloMs: number | undefined;
  private readonly removing = new Set<string>();

  constructor(private readonly options: IDirectoryServiceOptions) {
    const { channel, clock, directory, log, self } = options;
    const { catalog, members, targets } = directory;
    this.startMs = clock.getMonotonicTime();
    this.registration = new MemberRegistration({ ...options, members });
    this.role = new FollowerRole({
      clock,
      self: self.address,
      rankFollowers: () => directory.rankFollowers(self.failureDomain),
    });
    const { encoder } = directory;
    const fetcher = new TableFetcher({
      ...options,
      encoder,
      self: self.stateAddress,
      listOthers: () => this.listFollowers(),
    });
    this.relay = new UpdateRelay({
      channel,
      clock,
      log,
      statePort: Number(self.stateAddress.slice(self.stateAddress.lastIndexOf(':') + 1)),
      incarnation: self.incarnation,
      tables: directory.listTables(),
      encoder,
      isProofDue: () => this.isProofDue(),
      listPeers: () => this.listPeers(),
      fetchTable: (table, source) => fetcher.fetch(table, source),
    });
    this.supervisor = new UpdateSupervisor({
      ...options,
      role: this.role,
      getExtraAgeMs: () => this.getExtraAgeMs(),
      listPeers: () => this.listPeers(),
      sendRequest: (address) => {
        channel.send(address, { case: 'hello', value: HELLO });
      },
      announce: () => {
        this.relay.announce();
      },
      onWillRequestNewer: () => {
        // Until then, the response of the store may be on its way.
        const knownMs = directory.announcedVersions.getOldestAgeMs();
        if (knownMs > this.responseTimes.getProbableMs()) this.catalogFollower.cancelRead();
      },
    });
    this.targetsFollower = this.createFollower('targets', TARGETS_POLLING, () => {
      if (targets.version === undefined) return this.isFirstReadDue();
      return this.hasToRead(targets.getAgeMs());
    });
    // While the targets can't be read, reads of other tables would only add to the calls.
    const isStoreReadable = () =>
      targets.version === undefined || targets.getAgeMs() < this.getReadIntervalMs() * 2;
    const catalogPolling = { ...CATALOG_POLLING, getWaitMs: () => this.getCatalogWaitMs() };
    this.catalogFollower = this.createFollower('catalog', catalogPolling, () => {
      if (catalog.version === undefined) return this.isFirstReadDue();
      return isStoreReadable() && this.hasToRead(catalog.getAgeMs());
    });
    this.membersFollower = this.createFollower('members', MEMBERS_POLLING, () => {
      if (members.version === undefined) return this.registration.isFirstListReadDue();
      return isStoreReadable() && this.hasToRead(members.getAgeMs());
    });
  }

  /** Runs all loops; ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.registration.run(signal),
      this.requestFromSeeds(signal),
      this.supervisor.run(signal),
      this.targetsFollower.run(signal),
      this.catalogFollower.run(signal),
      this.membersFollower.run(signal),
    ]);
  }

  /** Whether this node currently reads the store for its failure domain, by rank or after taking over. */
  get isFollower(): boolean {
    return this.role.isFollower();
  }

  handleUpdate(sender: string, update: Update): void {
    this.role.recordUpdate(sender, this.isCurrent(update));
    this.recordVersion(sender, Number(update.catalogVersion));
    this.relay.handleUpdate(sender, update);
    this.supervisor.recordUpdate(sender);
  }

  /** Records the version of the configuration that another node has in force, 0 if it doesn't state it. */
  recordVersion(sender: string, version: number): void {
    this.options.directory.announcedVersions.recordAnnounced(version, sender);
  }

  handleHello(sender: string): void {
    this.relay.handleHello(sender);
  }

  handleUpdateReceived(sender: string, received: UpdateReceived): void {
    this.recordVersion(sender, Number(received.catalogVersion ?? 0n));
    this.relay.handleUpdateReceived(sender, received);
  }

  /** Removes this node from the list of members, so that it receives no more requests. */
  async retire(signal: AbortSignal): Promise<void> {
    const { channel, directory, log, self } = this.options;
    for (const { address } of directory.members.listValues()) {
      if (address !== self.address) channel.send(address, { case: 'leaving', value: LEAVING });
    }
    try {
      await this.registration.retire(signal);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn('registration not removed; peers will remove it once this node is silent', {
        reason,
      });
    }
  }

  dispose(): void {
    this.supervisor.dispose();
    this.relay.clear();
  }

  /**
   * How long the store may hold a read of the configuration, in ms. A long poll proves the copy only as of
   * its start, so with a lease on keys it may take only a small share of the lease, and no time while the
   * last proof is old.
   */
  private getCatalogWaitMs(): number {
    const { directory, keyLeaseMs } = this.options;
    if (keyLeaseMs === undefined || directory.getCatalog()?.requiresKeys !== true) {
      return CATALOG_POLLING.waitMs;
    }
    if (directory.tenants.getProofAgeMs() > keyLeaseMs * URGENT_PROOF_SHARE) return 0;
    return Math.min(CATALOG_POLLING.waitMs, keyLeaseMs * LONG_POLL_LEASE_SHARE);
  }

  /** Time between two reads of the targets, in ms, as the store responds at the moment. */
  private getReadIntervalMs(): number {
    return TARGETS_POLLING.pauseMs + this.responseTimes.getLimitMs(0);
  }

  private isProofDue(): boolean {
    const { directory, keyLeaseMs } = this.options;
    if (keyLeaseMs === undefined || directory.getCatalog()?.requiresKeys !== true) return false;
    return directory.tenants.getProofAgeMs() > keyLeaseMs * URGENT_PROOF_SHARE;
  }

  private cancelLongPolls(): void {
    this.catalogFollower.cancelRead();
    this.membersFollower.cancelRead();
  }

  /** Whether the sender's copy of the targets, which followers read most often, is as recent as this node's. */
  private isCurrent({ changes }: Update): boolean {
    const { targets } = this.options.directory;
    const copy = changes.find(({ table }) => table === targets.name);
    return copy !== undefined && copy.ageMs <= targets.getAgeMs();
  }

  private createFollower(
    name: 'catalog' | 'targets' | 'members',
    pollTiming: IPollTiming,
    hasToRead: () => boolean,
  ): StoreFollower<unknown> {
    const { authority, clock, directory, log, random } = this.options;
    const source =
      name === 'catalog'
        ? new CatalogSource({ source: authority.catalog, directory, clock })
        : authority[name];
    return new StoreFollower<unknown>({
      table: directory[name] as FollowedTable<unknown>,
      source,
      pollTiming,
      clock,
      log,
      responseTimes: this.responseTimes,
      hasToRead,
      getMaxAgeMs: () => this.role.getMaxAgeMs(),
      jitter: (delayMs) => random.getJittered(delayMs, 0.4),
      isFirst: () => this.role.isFirst(),
      onDidRead: (hasChanges) => {
        if (name === 'targets') {
          this.checkEra();
          this.catalogFollower.endRetryDelay();
          this.membersFollower.endRetryDelay();
        }
        // Reads of the targets are frequent enough to confirm to peers that the other tables are unchanged.
        if (hasChanges || name === 'targets') this.announce();
      },
      onDidFail: (isOverdue) => {
        if (name === 'targets' && !isOverdue) this.cancelLongPolls();
      },
      // Long polls that were sent while the store was lost are probably lost too, but not if it was only slow.
      onDidRegain: (isLate) => {
        if (name === 'targets' && !isLate) this.cancelLongPolls();
      },
      isStoreReachable: () => {
        return (
          name !== 'targets' && this.targetsFollower.isRecentlyRead(this.getReadIntervalMs() * 2)
        );
      },
    });
  }

  /**
   * Whether this node has to make its first read of the tables now. When a whole fleet starts for the first
   * time, its nodes wait for the tables of a follower, because calls to the store are billed and all nodes
   * would call at the same time. A node that starts later reads immediately, as callers may be waiting.
   */
  private isFirstReadDue(): boolean {
    const { channel, clock, directory, isFirstStart, self } = this.options;
    if (!isFirstStart) return true;
    if (directory.members.version === undefined) return false;
    const nowMs = clock.getMonotonicTime();
    if (this.helloMs === undefined) {
      this.helloMs = nowMs;
      const followers = directory.rankFollowers(self.failureDomain).slice(0, MAX_HELLOS);
      for (const follower of followers) {
        if (follower !== self.address) channel.send(follower, { case: 'hello', value: HELLO });
      }
    }
    return this.role.isFirst() || nowMs - this.helloMs > HELLO_WAIT_MS;
  }

  private hasToRead(ageMs: number): boolean {
    return this.role.hasToRead(ageMs - this.getExtraAgeMs());
  }

  /**
   * How much older than usual a copy may get before this node reads the store itself, in ms. Zero once the
   * node has received a request: with an outdated copy, it would send requests to draining targets.
   */
  private getExtraAgeMs(): number {
    const { clock, hasReceivedRequests, isFirstStart } = this.options;
    const isNewFleet = isFirstStart && clock.getMonotonicTime() - this.startMs < NEW_FLEET_MS;
    return isNewFleet && !hasReceivedRequests() ? NEW_FLEET_EXTRA_AGE_MS : 0;
  }

  private announce(): void {
    if (!this.role.isFollower()) return;
    const { catalog, members } = this.options.directory;
    // A pending long poll shows that its table had not changed when a read was sent that has succeeded meanwhile.
    const sentMs = this.targetsFollower.lastReadStartMs;
    if (this.catalogFollower.isLongPollPending(sentMs))
      catalog.freshMs = Math.max(catalog.freshMs, sentMs);
    if (this.membersFollower.isLongPollPending(sentMs))
      members.freshMs = Math.max(members.freshMs, sentMs);
    this.relay.announce();
    this.removeSilentPeers();
  }

  /** Cancels pending reads of tables that are still of a former epoch: they may wait for a former version. */
  private checkEra(): void {
    const { catalog, members, targets } = this.options.directory;
    const isOlder = ({ era, version }: FollowedTable<unknown>) => {
      return version !== undefined && era < targets.era;
    };
    if (isOlder(catalog as FollowedTable<unknown>)) this.catalogFollower.cancelRead();
    if (isOlder(members as FollowedTable<unknown>)) this.membersFollower.cancelRead();
  }

  private removeSilentPeers(): void {
    // A store restored from an older copy lists members again that were removed before.
    const restored = this.options.directory.members.listWithheld();
    for (const peer of [...this.relay.listSilent(SILENT_PEER_MS), ...restored]) {
      if (this.removing.has(peer)) continue;
      this.removing.add(peer);
      void this.removePeer(peer).finally(() => this.removing.delete(peer));
    }
  }

  private async removePeer(peer: string): Promise<void> {
    const { authority, log } = this.options;
    log.warn('peer is silent; removing its registration', { peer, limitMs: SILENT_PEER_MS });
    try {
      await authority.removeMember(peer, AbortSignal.timeout(SILENT_PEER_MS));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn('registration of a silent peer not removed', { peer, reason });
    }
  }

  /** Requests updates from the seeds until the tables are known: the store may reject only this node. */
  private async requestFromSeeds(signal: AbortSignal): Promise<void> {
    const { channel, clock, directory, seeds, self } = this.options;
    while (!signal.aborted) {
      await clock.sleep(SEED_REQUEST_INTERVAL_MS, signal).catch(() => undefined);
      const isKnown = directory.catalog.version !== undefined;
      if (isKnown && directory.members.version !== undefined) return;
      for (const seed of seeds) {
        if (seed !== self.address) channel.send(seed, { case: 'hello', value: HELLO });
      }
    }
  }

  /** State addresses of the followers of all failure domains, and of the next one in this node's domain. */
  private listFollowers(): readonly string[] {
    const { directory, self } = this.options;
    const domains = new Set([
      self.failureDomain,
      ...directory.members.listValues().map(({ failureDomain }) => failureDomain),
    ]);
    return [...domains]
      .flatMap((domain) => {
        return directory.rankFollowers(domain).slice(0, domain === self.failureDomain ? 2 : 1);
      })
      .filter((address) => address !== self.address)
      .flatMap((address) => directory.members.get(address)?.stateAddress ?? []);
  }

  private listPeers(): readonly string[] {
    const { directory, self } = this.options;
    return directory.members
      .listValues()
      .filter(({ failureDomain }) => failureDomain === self.failureDomain)
      .map(({ address }) => address)
      .filter((address) => address !== self.address);
  }
}
