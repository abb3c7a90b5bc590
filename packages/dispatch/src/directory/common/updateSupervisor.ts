/** Gets updates from other nodes when the usual ones don't arrive, and sends them on. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import type { IMember } from './authority.js';
import { CopyMonitor } from './copyMonitor.js';
import { DomainForwarder } from './domainForwarder.js';
import type { FollowedTable } from './followedTable.js';
import type { FollowerRole } from './followerRole.js';
import type { NodeDirectory } from './nodeDirectory.js';
import { UpdateRequester } from './updateRequester.js';
import { listUpdateSources } from './updateSources.js';

/**
 * Age of a copy, as a share of the time in which changes have to be in force, from which it is outdated.
 * Followers request updates first, as they send them on.
 */
const OUTDATED_SHARE = 0.75;
const FOLLOWER_OUTDATED_SHARE = 0.7;
/** The same share for how long a newer configuration may be known before it is requested. */
const NEWER_WAIT_SHARE = 0.125;
/** A follower that sent an update within this time, in ms, is able to. */
const RESPONSIVE_MS = 1500;
/** Number of followers that are named in the log: the first and its successor. */
const LOGGED_FOLLOWERS = 2;

/** Options of an {@link UpdateSupervisor}. */
export interface IUpdateSupervisorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly directory: NodeDirectory;
  readonly role: FollowerRole;
  readonly self: IMember;
  /** Datagram addresses of nodes that may be running. */
  readonly seeds: readonly string[];
  /** Returns the time in which a change has to be in force on all nodes, in ms. Default: without limit. */
  readonly getApplyMs?: (() => number) | undefined;
  /** Returns how much older than usual copies may get at the moment, in ms. */
  readonly getExtraAgeMs: () => number;
  /** Lists the addresses of the other nodes of this failure domain. */
  readonly listPeers: () => readonly string[];
  /** Requests an update from a node. */
  readonly sendRequest: (address: string) => void;
  /** Sends the current state of the tables to this failure domain. */
  readonly announce: () => void;
  /** Called before a newer configuration is requested: the usual way has not brought it. */
  readonly onWillRequestNewer: () => void;
}

/**
 * Combines the detection of outdated copies with the requests that bring them up to date.
 *
 * @example
 * await new UpdateSupervisor(options).run(signal);
 */
export class UpdateSupervisor implements IDisposable {
  private readonly monitor: CopyMonitor;
  private readonly requester: UpdateRequester;
  private readonly forwarder: DomainForwarder;
  /** The node that sent the last update, and when it arrived. */
  private lastUpdate: { readonly sender: string; readonly atMs: number } | undefined;

  constructor(private readonly options: IUpdateSupervisorOptions) {
    const { directory, role } = options;
    const { announcedVersions, catalog, targets } = directory;
    this.monitor = new CopyMonitor({
      ...options,
      tables: [catalog, targets] as unknown as FollowedTable<unknown>[],
      getMaxAgeMs: () => this.getOutdatedAgeMs(),
      describeSources: () => this.describeSources(),
    });
    this.requester = new UpdateRequester({
      ...options,
      announced: announcedVersions,
      monitor: this.monitor,
      listSources: () => listUpdateSources({ ...options, lastSender: this.findLastSender() }),
      getNewerWaitMs: () => this.getApplyShareMs(NEWER_WAIT_SHARE),
    });
    this.forwarder = new DomainForwarder({
      ...options,
      tables: directory.listTables(),
      isFollower: () => role.isFollower(),
    });
  }

  /** Ends when `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.monitor.run(signal);
  }

  /** Records that an update was received from a node, after it was applied. */
  recordUpdate(sender: string): void {
    this.lastUpdate = { sender, atMs: this.options.clock.getMonotonicTime() };
    this.forwarder.recordUpdate(sender);
  }

  dispose(): void {
    this.requester.dispose();
    this.forwarder.dispose();
  }

  /** Age from which a copy is outdated, in ms; infinite if there is no limit. */
  private getOutdatedAgeMs(): number {
    const { getExtraAgeMs, role } = this.options;
    const share = role.isFollower() ? FOLLOWER_OUTDATED_SHARE : OUTDATED_SHARE;
    return this.getApplyShareMs(share) + getExtraAgeMs();
  }

  /** Returns a share of the time in which changes have to be in force, in ms; infinite without a limit. */
  private getApplyShareMs(share: number): number {
    const applyMs = this.options.getApplyMs?.() ?? 0;
    return applyMs > 0 ? applyMs * share : Infinity;
  }

  private describeSources(): Readonly<Record<string, unknown>> {
    const { clock, directory, role, self } = this.options;
    const { lastUpdate } = this;
    const sources = {
      isFollower: role.isFollower(),
      isListed: directory.members.get(self.address) !== undefined,
      followers: directory.rankFollowers(self.failureDomain).slice(0, LOGGED_FOLLOWERS),
      processDelayMs: Math.round(clock.getRecentDelayMs()),
    };
    if (lastUpdate === undefined) return sources;
    const updateAgeMs = Math.round(clock.getMonotonicTime() - lastUpdate.atMs);
    return { ...sources, updateFrom: lastUpdate.sender, updateAgeMs };
  }

  /** The node that sent the last update, if that was lately. */
  private findLastSender(): string | undefined {
    if (this.lastUpdate === undefined) return undefined;
    const { atMs, sender } = this.lastUpdate;
    const ageMs = this.options.clock.getMonotonicTime() - atMs;
    return ageMs < RESPONSIVE_MS ? sender : undefined;
  }
}
