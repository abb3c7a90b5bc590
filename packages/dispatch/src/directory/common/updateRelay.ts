/** Sends the tables that a follower reads to the nodes of its failure domain, and detects silent ones. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable, IInstant, Logger } from '@parsleymux/base';
import { computeEarlierInstant } from '@parsleymux/base';
import type { FollowedChanges, Update, UpdateReceived } from '@parsleymux/schema';
import { FollowedChangesSchema, UpdateReceivedSchema, UpdateSchema } from '@parsleymux/schema';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import { EchoTokens } from './echoTokens.js';
import type { FollowedTable } from './followedTable.js';
import type { IKnownCopy, TableEncoder } from './tableEncoder.js';
import type { ITableSource } from './tableFetcher.js';
import { encodeAges } from './tableMessages.js';
import { hasState } from './tableServer.js';

/**
 * Most bytes of rows in one datagram: about forty targets. For more changes, peers fetch the whole table,
 * which costs both sides several times as much.
 */
const MAX_ROW_BYTES = 8000;
/** Most updates tracked for a confirmation: those of about ten seconds. */
const MAX_SENT = 256;

/**
 * An update that a peer has not confirmed after this time, in ms, is repeated. This is several round trips
 * of a busy node, but early enough that a lost datagram doesn't make a peer's copy too old.
 */
const REPEAT_MS = 200;

/** A peer is considered silent after this many consecutive unconfirmed updates, including repeats. */
const MIN_UNCONFIRMED = 4;
/** Updates further apart than this, in ms, aren't consecutive: this node was not the follower in between. */
const MAX_GAP_MS = 2500;

/** If more than this share of the peers is silent, the network path of this node is considered at fault. */
const MAX_SILENT_SHARE = 0.5;

/** State of a table in a sent update. */
interface ISentState {
  readonly era: number;
  readonly version: number;
}

/** States of tables, by table name. */
type TableVersions = ReadonlyMap<string, ISentState>;

/** Consecutive updates that a peer has not confirmed. */
interface IUnconfirmed {
  readonly sinceMs: number;
  readonly lastMs: number;
  readonly count: number;
}

/** Options of an {@link UpdateRelay}. */
export interface IUpdateRelayOptions {
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly log: Logger;
  readonly statePort: number;
  /** Differs for each start of the process. Default: 0. */
  readonly incarnation?: number;
  readonly tables: readonly FollowedTable<unknown>[];
  readonly encoder: TableEncoder;
  /** Whether this node needs a freshness proof for its copies soon. Default: never. */
  readonly isProofDue?: () => boolean;
  /** Lists the addresses of the other nodes of this failure domain. */
  readonly listPeers: () => readonly string[];
  /** Fetches a table from a node that has a newer copy. */
  readonly fetchTable: (table: FollowedTable<unknown>, source: ITableSource) => Promise<void>;
}

/**
 * Sends and applies updates. An update contains the changes since the one that the peer last confirmed. If
 * each contained all recent changes, a few dozen targets that register or leave would make every peer
 * fetch the whole table repeatedly.
 *
 * @example
 * relay.announce(); // after a read of the store
 */
export class UpdateRelay {
  private sequence = 0n;
  private readonly confirmedAtMs = new Map<string, number>();
  private readonly unconfirmed = new Map<string, IUnconfirmed>();
  /** The newest announced source of each table that is being fetched. */
  private readonly fetching = new Map<string, ITableSource>();
  /** States of the tables in each sent update, by sequence number. */
  private readonly sentVersions = new Map<bigint, TableVersions>();
  /** States of the tables that each peer has confirmed. */
  private readonly confirmed = new Map<string, TableVersions>();
  private readonly tokens: EchoTokens;
  /** Version of the configuration that each peer has in force, of those that can apply patches. */
  private readonly catalogVersions = new Map<string, number>();
  /** The newest echo token of each peer. */
  private readonly echoes = new Map<string, bigint>();
  private repeatTimer: IDisposable | undefined;

  constructor(private readonly options: IUpdateRelayOptions) {
    this.tokens = new EchoTokens({ clock: options.clock, incarnation: options.incarnation ?? 0 });
  }

  /** Sends the current state of the tables to all peers, and repeats it to those that don't confirm it. */
  announce(): void {
    const { clock, listPeers } = this.options;
    const nowMs = clock.getMonotonicTime();
    this.sendUpdates(listPeers());
    void this.repeatTimer?.dispose();
    this.repeatTimer = clock.startTimer(REPEAT_MS, () => {
      this.sendRepeats(nowMs);
    });
  }

  /** Sends an update to a node that has just started and requested one. */
  handleHello(sender: string): void {
    this.confirmed.delete(sender);
    this.catalogVersions.delete(sender);
    this.sendUpdates([sender]);
  }

  handleUpdate(sender: string, update: Update): void {
    const host = sender.slice(0, sender.lastIndexOf(':'));
    const sentAfter = this.tokens.find(update.echo);
    for (const changes of update.changes) {
      this.applyChanges(changes, `${host}:${update.statePort}`, sentAfter);
    }
    this.fetchNewerCatalog(update, `${host}:${update.statePort}`);
    this.confirm(sender, update);
  }

  /**
   * Fetches the configuration if the sender's is still newer after its changes were applied: this node's copy is
   * of a later state, and lacks it all the same.
   */
  private fetchNewerCatalog({ catalogVersion }: Update, stateAddress: string): void {
    const { encoder, tables } = this.options;
    const table = tables.find(({ name }) => name === encoder.catalogTable);
    const isMissing = Number(catalogVersion) > encoder.catalogVersion;
    if (table === undefined || !isMissing || this.fetching.has(table.name)) return;
    this.fetch(table, { stateAddress, isWhole: true });
  }

  handleUpdateReceived(sender: string, received: UpdateReceived): void {
    const { catalogVersion, echo, sequence, urgent } = received;
    this.confirmedAtMs.set(sender, this.options.clock.getMonotonicTime());
    this.unconfirmed.delete(sender);
    const versions = this.sentVersions.get(sequence);
    if (versions !== undefined) this.confirmed.set(sender, versions);
    if (catalogVersion !== undefined) this.catalogVersions.set(sender, Number(catalogVersion));
    if (echo > 0n) this.echoes.set(sender, echo);
    if (urgent) this.sendUpdates([sender]);
  }

  /**
   * Confirms an update. The first update of a follower echoes no token, so it is no freshness proof; the
   * next one is requested immediately if a proof is due.
   */
  private confirm(sender: string, { echo, sequence }: Update): void {
    const { channel, encoder, isProofDue } = this.options;
    const value = create(UpdateReceivedSchema, {
      sequence,
      catalogVersion: BigInt(encoder.catalogVersion),
      echo: this.tokens.create(),
      urgent: this.tokens.find(echo) === undefined && isProofDue?.() === true,
    });
    channel.send(sender, { case: 'updateReceived', value });
  }

  /**
   * Lists the peers that confirmed none of the consecutive updates sent to them for `limitMs`. Lists none if
   * most are silent: then this node is probably partitioned, and reporting them would remove a whole failure
   * domain that is working. Only consecutive updates count, because peers can't confirm anything while this
   * node is not the follower and sends no updates.
   */
  listSilent(limitMs: number): readonly string[] {
    const nowMs = this.options.clock.getMonotonicTime();
    const peers = this.options.listPeers();
    const silent = peers.filter((peer) => {
      const { count, sinceMs } = this.unconfirmed.get(peer) ?? { count: 0, sinceMs: nowMs };
      return count >= MIN_UNCONFIRMED && nowMs - sinceMs > limitMs;
    });
    return silent.length > peers.length * MAX_SILENT_SHARE ? [] : silent;
  }

  /** Discards all state of peers and stops the repeats. */
  clear(): void {
    void this.repeatTimer?.dispose();
    this.confirmedAtMs.clear();
    this.confirmed.clear();
    this.catalogVersions.clear();
    this.echoes.clear();
    this.unconfirmed.clear();
  }

  /**
   * Repeats an update to the peers that haven't confirmed any since. Otherwise a single lost datagram would
   * make a peer's copy so old that it reads the store itself: with a hundred nodes, lost updates caused
   * more calls than the followers.
   */
  private sendRepeats(announcedMs: number): void {
    const unconfirmedPeers = this.options.listPeers().filter((peer) => {
      return (this.confirmedAtMs.get(peer) ?? -Infinity) < announcedMs;
    });
    this.sendUpdates(unconfirmedPeers);
  }

  /** Sends an update to each peer. Peers that confirmed the same state get the same update, encoded once. */
  private sendUpdates(peers: readonly string[]): void {
    const updates = new Map<string, Update>();
    for (const peer of peers) {
      const known = this.confirmed.get(peer) ?? new Map<string, ISentState>();
      const catalogVersion = this.catalogVersions.get(peer);
      const states = [...known.values()].map(({ era, version }) => `${era}/${version}`);
      const key = [catalogVersion ?? '', ...states].join(' ');
      const shared = updates.get(key) ?? this.makeUpdate(known, catalogVersion);
      updates.set(key, shared);
      this.recordSent(peer);
      const echo = this.echoes.get(peer) ?? 0n;
      const value = create(UpdateSchema, { ...shared, echo });
      this.options.channel.send(peer, { case: 'update', value });
    }
  }

  private recordSent(peer: string): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const previous = this.unconfirmed.get(peer);
    const isConsecutive = previous !== undefined && nowMs - previous.lastMs <= MAX_GAP_MS;
    const before = isConsecutive ? previous : { sinceMs: nowMs, count: 0 };
    this.unconfirmed.set(peer, { sinceMs: before.sinceMs, lastMs: nowMs, count: before.count + 1 });
  }

  private makeUpdate(known: TableVersions, catalogVersion: number | undefined): Update {
    const { encoder, statePort } = this.options;
    const tables = this.options.tables.filter(({ version }) => version !== undefined);
    this.sequence += 1n;
    this.recordSentVersions(
      new Map(tables.map(({ era, name, version }) => [name, { era, version: version ?? 0 }])),
    );
    const changes = tables.map((table) => {
      return this.encodeTable(table, { ...known.get(table.name), catalogVersion });
    });
    const { sequence } = this;
    const ownVersion = BigInt(encoder.catalogVersion);
    return create(UpdateSchema, { sequence, changes, statePort, catalogVersion: ownVersion });
  }

  private recordSentVersions(versions: TableVersions): void {
    this.sentVersions.set(this.sequence, versions);
    const [oldest] = this.sentVersions.keys();
    if (this.sentVersions.size > MAX_SENT && oldest !== undefined) this.sentVersions.delete(oldest);
  }

  private encodeTable(table: FollowedTable<unknown>, known: IKnownCopy): FollowedChanges {
    const message = this.options.encoder.encodeRecent(table, known);
    const bytes = message.rows.reduce((sum, { patch, value }) => {
      return sum + (value?.byteLength ?? 0) + (patch?.byteLength ?? 0);
    }, 0);
    if (bytes <= MAX_ROW_BYTES) return message;
    // The changes don't fit into a datagram: peers that lack them fetch the table.
    const { version } = message;
    const { era, name } = table;
    const ages = encodeAges(table);
    return create(FollowedChangesSchema, { table: name, after: version, version, era, ...ages });
  }

  private applyChanges(
    changes: FollowedChanges,
    stateAddress: string,
    sentAfter: IInstant | undefined,
  ): void {
    const table = this.options.tables.find(({ name }) => name === changes.table);
    if (table === undefined) return;
    // The message may have waited to be read for as long as this process was late.
    const { clock } = this.options;
    const asOfMs = clock.getMonotonicTime() - changes.ageMs - clock.getRecentDelayMs();
    const minimum = { era: changes.era, version: Number(changes.version) };
    const decoded = this.options.encoder.decode(changes);
    if (decoded === undefined) {
      this.fetch(table, { stateAddress, minimum });
      return;
    }
    const { after, content } = decoded;
    const isIncompatible = content.isRetained !== table.isRetaining && content.era === table.era;
    if (isIncompatible || !table.apply(after, content, asOfMs)) {
      this.fetch(table, { stateAddress, minimum });
    }
    if (sentAfter === undefined || changes.proofAgeMs === undefined) return;
    table.recordProof(content, computeEarlierInstant(sentAfter, changes.proofAgeMs));
  }

  private fetch(table: FollowedTable<unknown>, source: ITableSource): void {
    const isFetching = this.fetching.has(table.name);
    this.fetching.set(table.name, source);
    if (!isFetching) void this.fetchNewest(table, source);
  }

  /** Fetches the table, and again from whoever announced a newer state meanwhile. */
  private async fetchNewest(table: FollowedTable<unknown>, first: ITableSource): Promise<void> {
    let source: ITableSource | undefined = first;
    while (source !== undefined) {
      const tried: ITableSource = source;
      await this.options.fetchTable(table, tried).catch((error: unknown) => {
        this.logNotFetched(table, tried, error);
      });
      const newest = this.fetching.get(table.name);
      source = newest === tried || hasState(table, newest?.minimum) ? undefined : newest;
    }
    this.fetching.delete(table.name);
  }

  private logNotFetched(
    { name: table }: FollowedTable<unknown>,
    { stateAddress: peer }: ITableSource,
    error: unknown,
  ): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.log.warn('table not fetched', { table, peer, reason });
  }
}
