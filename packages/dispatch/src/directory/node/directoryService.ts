/** Keeps a node's directory fresh: follows the store or its followers, and registers the node. */
import type { Clock, IDisposable, Logger, RandomSource } from '@parsleymux/base';
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
import { StoreFollower } from '../common/storeFollower.js';
import { UpdateRelay } from '../common/updateRelay.js';
import { fetchTable } from './stateServer.js';

/**
 * Pause between reads of the targets, in ms. Each read is paid for; a target that drains has to be
 * known everywhere within 2 s, of which the take-over from a dead follower needs 1.3 s.
 */
const TARGETS_POLLING: IPollTiming = { pauseMs: 850, waitMs: 0 };
/** The store holds these reads until there is news; the wait bounds how long a dead connection hides it. */
const CATALOG_POLLING: IPollTiming = { pauseMs: 10, waitMs: 1500 };
const MEMBERS_POLLING: IPollTiming = { pauseMs: 300, waitMs: 10_000 };
/** A peer that confirmed no update for this long is taken for gone, in ms: five updates. */
const SILENT_PEER_MS = 4500;
/**
 * While the nodes of a new fleet appear on the list, those that tell the others change with each that
 * is added, and copies get older than usual, in ms: no caller waits for the news yet. Half of
 * a large fleet would read all tables for itself in that time.
 */
const NEW_FLEET_MS = 5000;
const NEW_FLEET_EXTRA_AGE_MS = 2500;

/** Followers that a starting node asks: the first, and the one that would take over from it. */
const MAX_HELLOS = 2;
/** A starting node reads for itself after this wait, in ms: two announcements of a follower. */
const HELLO_WAIT_MS = 1500;
/** Pause between questions to the seeds of a node that knows nothing, in ms: the store goes first. */
const SEED_PAUSE_MS = 400;
/** Part of the lease on keys for which a read of the configuration may be held. */
const LONG_POLL_LEASE_SHARE = 0.125;
/** Once this part of the lease has passed since the last proof, another one is due at once. */
const URGENT_PROOF_SHARE = 0.5;
const LEAVING = create(LeavingSchema);
const HELLO = create(HelloSchema);

/** Options of a {@link DirectoryService}. */
export interface IDirectoryServiceOptions {
  readonly directory: NodeDirectory;
  readonly authority: Authority;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly self: IMember;
  /** Whether the whole fleet starts for the first time; no caller is waiting then. */
  readonly isFirstStart: boolean;
  /** Datagram addresses of nodes that may be alive. */
  readonly seeds: readonly string[];
  /** For how long keys hold without a proof that they are the newest, in ms; undefined: for ever. */
  readonly keyLeaseMs?: number | undefined;
  /** Whether a caller, or another node for one, has asked this node for anything. */
  readonly hasReceivedRequests: () => boolean;
}

/**
 * Runs all loops of the directory.
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
  private readonly startMs: number;
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
    this.relay = new UpdateRelay({
      channel,
      clock,
      log,
      statePort: Number(self.stateAddress.slice(self.stateAddress.lastIndexOf(':') + 1)),
      incarnation: self.incarnation,
      tables: directory.listTables(),
      isProofDue: () => this.isProofDue(),
      listPeers: () => this.listPeers(),
      fetchTable: (table, address) => fetchTable(table, address, clock),
    });
    this.targetsFollower = this.createFollower('targets', TARGETS_POLLING, () => {
      if (targets.version === undefined) return this.isFirstReadDue();
      return this.hasToRead(targets.getAgeMs());
    });
    // While the targets can't be read, asking for more would only add to the calls.
    const isOpen = () =>
      targets.version === undefined || targets.getAgeMs() < TARGETS_POLLING.pauseMs * 2;
    const catalogPolling = { ...CATALOG_POLLING, getWaitMs: () => this.getCatalogWaitMs() };
    this.catalogFollower = this.createFollower('catalog', catalogPolling, () => {
      if (catalog.version === undefined) return this.isFirstReadDue();
      return isOpen() && this.hasToRead(catalog.getAgeMs());
    });
    this.membersFollower = this.createFollower('members', MEMBERS_POLLING, () => {
      if (members.version === undefined) return this.registration.isFirstListReadDue();
      return isOpen() && this.hasToRead(members.getAgeMs());
    });
  }

  /** Ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.registration.run(signal),
      this.requestFromSeeds(signal),
      this.targetsFollower.run(signal),
      this.catalogFollower.run(signal),
      this.membersFollower.run(signal),
    ]);
  }

  /** Whether this node reads the store for its failure domain now, also in place of one that is gone. */
  get isFollower(): boolean {
    return this.role.isFollower();
  }

  handleUpdate(sender: string, update: Update): void {
    this.role.recordUpdate(sender);
    this.relay.handleUpdate(sender, update);
  }

  handleHello(sender: string): void {
    this.relay.handleHello(sender);
  }

  handleUpdateReceived(sender: string, received: UpdateReceived): void {
    this.relay.handleUpdateReceived(sender, received);
  }

  /** Takes the node off the list, so that nobody asks it any more. */
  async retire(signal: AbortSignal): Promise<void> {
    const { channel, directory, log, self } = this.options;
    for (const { address } of directory.members.listValues()) {
      if (address !== self.address) channel.send(address, { case: 'leaving', value: LEAVING });
    }
    try {
      await this.registration.retire(signal);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn('registration not removed; peers will find this node silent', { reason });
    }
  }

  dispose(): void {
    this.relay.clear();
  }

  /**
   * A read that the store holds proves the copy only as of its start. Where keys are served under a lease,
   * it is held a small part of that, and not at all while the last proof is old.
   */
  private getCatalogWaitMs(): number {
    const { directory, keyLeaseMs } = this.options;
    if (keyLeaseMs === undefined || directory.getCatalog()?.requiresKeys !== true) {
      return CATALOG_POLLING.waitMs;
    }
    if (directory.tenants.getProofAgeMs() > keyLeaseMs * URGENT_PROOF_SHARE) return 0;
    return Math.min(CATALOG_POLLING.waitMs, keyLeaseMs * LONG_POLL_LEASE_SHARE);
  }

  private isProofDue(): boolean {
    const { directory, keyLeaseMs } = this.options;
    if (keyLeaseMs === undefined || directory.getCatalog()?.requiresKeys !== true) return false;
    return directory.tenants.getProofAgeMs() > keyLeaseMs * URGENT_PROOF_SHARE;
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
      hasToRead,
      getMaxAgeMs: () => this.role.getMaxAgeMs(),
      jitter: (delayMs) => random.getJittered(delayMs, 0.4),
      isFirst: () => this.role.isFirst(),
      onDidRead: (hasNews) => {
        if (name === 'targets') this.checkEra();
        // Reads of the targets come often enough to pass on that nothing is new elsewhere.
        if (hasNews || name === 'targets') this.announce();
      },
      onDidFail: () => {
        if (name !== 'targets') return;
        this.catalogFollower.cancelRead();
        this.membersFollower.cancelRead();
      },
    });
  }

  /**
   * When a whole fleet starts for the first time, its nodes take configuration and targets from a
   * follower if one answers soon: calls to the store are paid for, and all would come at once. A
   * node that starts later reads at once, for callers may wait for it already.
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
   * How much older than usual a copy may get before this node reads for itself, in ms. None once it is
   * asked for anything: a target that leaves would be given requests until the news of it comes.
   */
  private getExtraAgeMs(): number {
    const { clock, hasReceivedRequests, isFirstStart } = this.options;
    const isNewFleet = isFirstStart && clock.getMonotonicTime() - this.startMs < NEW_FLEET_MS;
    return isNewFleet && !hasReceivedRequests() ? NEW_FLEET_EXTRA_AGE_MS : 0;
  }

  private announce(): void {
    if (!this.role.isFollower()) return;
    const { clock, directory } = this.options;
    const nowMs = clock.getMonotonicTime();
    // The store holds these reads until something changes; while it answers others, silence is news.
    if (this.catalogFollower.isLongPollPending()) directory.catalog.freshMs = nowMs;
    if (this.membersFollower.isLongPollPending()) directory.members.freshMs = nowMs;
    this.relay.announce();
    this.removeSilentPeers();
  }

  /** The store came back from an older copy: what it holds back may be reads of its former versions. */
  private checkEra(): void {
    const { catalog, members, targets } = this.options.directory;
    const isOlder = ({ era, version }: FollowedTable<unknown>) => {
      return version !== undefined && era < targets.era;
    };
    if (isOlder(catalog as FollowedTable<unknown>)) this.catalogFollower.cancelRead();
    if (isOlder(members as FollowedTable<unknown>)) this.membersFollower.cancelRead();
  }

  private removeSilentPeers(): void {
    // Those that are gone are named again by a store that came back from an older copy.
    const returned = this.options.directory.members.listWithheld();
    for (const peer of [...this.relay.listSilent(SILENT_PEER_MS), ...returned]) {
      if (this.removing.has(peer)) continue;
      this.removing.add(peer);
      void this.removePeer(peer).finally(() => this.removing.delete(peer));
    }
  }

  private async removePeer(peer: string): Promise<void> {
    const { authority, log } = this.options;
    log.warn('peer is gone; removing its registration', { peer, limitMs: SILENT_PEER_MS });
    try {
      await authority.removeMember(peer, AbortSignal.timeout(SILENT_PEER_MS));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn('registration of a silent peer not removed', { peer, reason });
    }
  }

  /** The store may refuse this node while it serves others: then the seeds can tell what they know. */
  private async requestFromSeeds(signal: AbortSignal): Promise<void> {
    const { channel, clock, directory, seeds, self } = this.options;
    while (!signal.aborted) {
      await clock.sleep(SEED_PAUSE_MS, signal).catch(() => undefined);
      const isKnown = directory.catalog.version !== undefined;
      if (isKnown && directory.members.version !== undefined) return;
      for (const seed of seeds) {
        if (seed !== self.address) channel.send(seed, { case: 'hello', value: HELLO });
      }
    }
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
