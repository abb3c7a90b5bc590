/** Followers tell the nodes of their failure domain what they have read, and who of them is alive. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable, IInstant, Logger } from '@parsleymux/base';
import { computeEarlier } from '@parsleymux/base';
import type { FollowedChanges, Update, UpdateReceived } from '@parsleymux/schema';
import { FollowedChangesSchema, UpdateReceivedSchema, UpdateSchema } from '@parsleymux/schema';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import { EchoTokens } from './echoTokens.js';
import type { FollowedTable } from './followedTable.js';
import { decodeChanges, encodeAges, encodeChanges } from './tableMessages.js';

/**
 * Rows in one datagram, in bytes: some forty targets. What is more is fetched as a whole table,
 * which is several times the work for both sides.
 */
const MAX_ROW_BYTES = 8000;
/** Updates whose confirmation may still come: those of some ten seconds. */
const MAX_TRACKED_UPDATES = 256;

/**
 * A peer that has not confirmed an update after this gets it again, in ms: a few round trips of a
 * busy node, and early enough that a lost datagram leaves no copy older than its node bears.
 */
const REPEAT_MS = 200;

/** A peer counts as silent after so many updates in a row without confirmation, repeats included. */
const MIN_UNCONFIRMED = 4;
/** Updates that are further apart are not in a row, in ms: this node was not the follower between. */
const MAX_GAP_MS = 2500;

/** Above this share of silent peers, the way of this node is to blame rather than the peers. */
const MAX_SILENT_SHARE = 0.5;

/** A state of a table. */
interface ISentState {
  readonly era: number;
  readonly version: number;
}

/** States of tables, by name. */
type TableVersions = ReadonlyMap<string, ISentState>;

/** Updates in a row that a peer has not confirmed. */
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
  /** Differs between starts of the process. Default 0. */
  readonly incarnation?: number;
  readonly tables: readonly FollowedTable<unknown>[];
  /** Whether this node soon can't show any more that its copies are recent enough. Default: never. */
  readonly isProofDue?: () => boolean;
  /** Nodes of this failure domain, this one left out. */
  readonly listPeers: () => readonly string[];
  /** Fetches a whole table from a node that has a newer one. */
  readonly fetchTable: (table: FollowedTable<unknown>, stateAddress: string) => Promise<void>;
}

/**
 * Sends and takes updates. A peer gets what is new since the update that it confirmed last: with
 * all recent changes in each, a few dozen targets that come or go would make every peer fetch the
 * whole table again and again.
 *
 * @example
 * relay.announce(); // after a read of the store
 */
export class UpdateRelay {
  private sequence = 0n;
  private readonly confirmedAtMs = new Map<string, number>();
  private readonly unconfirmed = new Map<string, IUnconfirmed>();
  private readonly fetching = new Set<string>();
  /** What each update told, by its sequence. */
  private readonly sentVersions = new Map<bigint, TableVersions>();
  /** What each peer has confirmed. */
  private readonly confirmed = new Map<string, TableVersions>();
  private readonly tokens: EchoTokens;
  /** The newest token of each peer. */
  private readonly echoes = new Map<string, bigint>();
  private repeatTimer: IDisposable | undefined;

  constructor(private readonly options: IUpdateRelayOptions) {
    this.tokens = new EchoTokens({ clock: options.clock, incarnation: options.incarnation ?? 0 });
  }

  /** Tells all peers the present state of the tables. */
  announce(): void {
    const { clock, listPeers } = this.options;
    const nowMs = clock.getMonotonicTime();
    this.sendUpdates(listPeers());
    void this.repeatTimer?.dispose();
    this.repeatTimer = clock.startTimer(REPEAT_MS, () => {
      this.sendRepeats(nowMs);
    });
  }

  /** A node that has just started asks for what this one knows. */
  handleHello(sender: string): void {
    this.confirmed.delete(sender);
    this.sendUpdates([sender]);
  }

  handleUpdate(sender: string, update: Update): void {
    const host = sender.slice(0, sender.lastIndexOf(':'));
    const sentAfter = this.tokens.find(update.echo);
    for (const changes of update.changes) {
      this.applyChanges(changes, `${host}:${update.statePort}`, sentAfter);
    }
    this.confirm(sender, update);
  }

  handleUpdateReceived(sender: string, { echo, sequence, urgent }: UpdateReceived): void {
    this.confirmedAtMs.set(sender, this.options.clock.getMonotonicTime());
    this.unconfirmed.delete(sender);
    const versions = this.sentVersions.get(sequence);
    if (versions !== undefined) this.confirmed.set(sender, versions);
    if (echo > 0n) this.echoes.set(sender, echo);
    if (urgent) this.sendUpdates([sender]);
  }

  /** The first update of a follower brings no token back, so it proves nothing: the next is asked for. */
  private confirm(sender: string, { echo, sequence }: Update): void {
    const { channel, isProofDue } = this.options;
    const value = create(UpdateReceivedSchema, {
      sequence,
      echo: this.tokens.create(),
      urgent: this.tokens.find(echo) === undefined && isProofDue?.() === true,
    });
    channel.send(sender, { case: 'updateReceived', value });
  }

  /**
   * Peers that were sent one update after the other for `limitMs` and confirmed none. None at all
   * when most are silent: then this node is the one that is cut off, and to report them would take a
   * whole failure domain off the list while it is at work. Only updates in a row count: a node that
   * follows again after a while has not been told anything between because it has not asked.
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

  /** Forgets what was heard, when this node stops being a follower. */
  clear(): void {
    void this.repeatTimer?.dispose();
    this.confirmedAtMs.clear();
    this.confirmed.clear();
    this.echoes.clear();
    this.unconfirmed.clear();
  }

  /**
   * One lost datagram would make the copy of a peer so old that it reads the store itself: with a
   * hundred nodes, more calls came from lost updates than from the followers.
   */
  private sendRepeats(announcedMs: number): void {
    const missing = this.options.listPeers().filter((peer) => {
      return (this.confirmedAtMs.get(peer) ?? -Infinity) < announcedMs;
    });
    this.sendUpdates(missing);
  }

  /** Peers that have confirmed the same get the same update, encoded once. */
  private sendUpdates(peers: readonly string[]): void {
    const updates = new Map<string, Update>();
    for (const peer of peers) {
      const known = this.confirmed.get(peer) ?? new Map<string, ISentState>();
      const key = [...known.values()].map(({ era, version }) => `${era}/${version}`).join(' ');
      const shared = updates.get(key) ?? this.makeUpdate(known);
      updates.set(key, shared);
      this.recordSent(peer);
      const echo = this.echoes.get(peer) ?? 0n;
      const value = create(UpdateSchema, { ...shared, echo });
      this.options.channel.send(peer, { case: 'update', value });
    }
  }

  private recordSent(peer: string): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const row = this.unconfirmed.get(peer);
    const isInRow = row !== undefined && nowMs - row.lastMs <= MAX_GAP_MS;
    const before = isInRow ? row : { sinceMs: nowMs, count: 0 };
    this.unconfirmed.set(peer, { sinceMs: before.sinceMs, lastMs: nowMs, count: before.count + 1 });
  }

  private makeUpdate(known: TableVersions): Update {
    const { statePort } = this.options;
    const tables = this.options.tables.filter(({ version }) => version !== undefined);
    this.sequence += 1n;
    this.recordSentVersions(
      new Map(tables.map(({ era, name, version }) => [name, { era, version: version ?? 0 }])),
    );
    const changes = tables.map((table) => this.encodeTable(table, known.get(table.name)));
    return create(UpdateSchema, { sequence: this.sequence, changes, statePort });
  }

  private recordSentVersions(versions: TableVersions): void {
    this.sentVersions.set(this.sequence, versions);
    const [oldest] = this.sentVersions.keys();
    if (this.sentVersions.size > MAX_TRACKED_UPDATES && oldest !== undefined)
      this.sentVersions.delete(oldest);
  }

  private encodeTable(
    table: FollowedTable<unknown>,
    known: ISentState | undefined,
  ): FollowedChanges {
    // A version of another era says nothing of what the peer knows.
    const { after, content } = table.listRecent(
      known?.era === table.era ? known.version : undefined,
    );
    const encoded = encodeChanges(table.name, after, content);
    const bytes = encoded.rows.reduce((sum, { value }) => sum + (value?.byteLength ?? 0), 0);
    const ages = encodeAges(table);
    if (bytes <= MAX_ROW_BYTES) return create(FollowedChangesSchema, { ...encoded, ...ages });
    // Too much for a datagram: who lacks these changes fetches the table.
    const version = encoded.version;
    const { era } = table;
    return create(FollowedChangesSchema, {
      table: table.name,
      after: version,
      version,
      era,
      ...ages,
    });
  }

  private applyChanges(
    changes: FollowedChanges,
    stateAddress: string,
    sentAfter: IInstant | undefined,
  ): void {
    const table = this.options.tables.find(({ name }) => name === changes.table);
    if (table === undefined) return;
    const asOfMs = this.options.clock.getMonotonicTime() - changes.ageMs;
    const { after, content } = decodeChanges(changes);
    const isOtherKind = content.isRetained !== table.isRetaining && content.era === table.era;
    if (isOtherKind || !table.apply(after, content, asOfMs)) this.fetch(table, stateAddress);
    if (sentAfter === undefined || changes.proofAgeMs === undefined) return;
    table.recordProof(content, computeEarlier(sentAfter, changes.proofAgeMs));
  }

  private fetch(table: FollowedTable<unknown>, stateAddress: string): void {
    if (this.fetching.has(table.name)) return;
    this.fetching.add(table.name);
    this.options
      .fetchTable(table, stateAddress)
      .catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.log.warn('table not fetched from peer', {
          table: table.name,
          peer: stateAddress,
          reason,
        });
      })
      .finally(() => this.fetching.delete(table.name));
  }
}
