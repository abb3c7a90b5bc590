/** Membership from the platform's VM list, corrected by the results of this node's own calls. */
import type { Clock, Event, IDisposable, RandomSource } from '@parsleymux/base';
import { Emitter, JoinedSignal } from '@parsleymux/base';
import type { IVm, VmList } from '@parsleymux/store';
import { VmState } from '@parsleymux/store';
import type { INode } from './membershipService.js';
import { MembershipService } from './membershipService.js';
import { computeSharedInterval } from '../../polling/common/sharedInterval.js';
import type { ISuspicionOptions } from './peerHealth.js';
import { PeerHealth } from './peerHealth.js';

const DEFAULT_POLL_MS = 2000;
const DEFAULT_MAX_POLL_MS = 60_000;
const DEFAULT_FLEET_POLLS_PER_SECOND = 60;

/** Options of a {@link ListedMembershipService}. */
export interface IListedMembershipOptions {
  /** This node; it is always part of its own live set. */
  readonly self: INode;
  readonly vms: VmList;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Mean time between two reads of the list in a small fleet, in ms. Default 2000. */
  readonly pollMs?: number;
  /**
   * Reads per second that the whole fleet may make; nodes of a large fleet read less often. Default
   * 60.
   */
  readonly fleetPollsPerSecond?: number;
  /** Maximum mean time between two reads while reads fail, in ms. Default 60,000. */
  readonly maxPollMs?: number;
  readonly suspicion?: ISuspicionOptions;
  /** Addresses of initial peers, used until the list has been read for the first time. */
  readonly seeds?: readonly string[];
}

/** Counts since the start. */
export interface IMembershipCounters {
  readonly polls: number;
  readonly failedPolls: number;
  readonly suspicions: number;
  readonly changes: number;
}

/**
 * Reads the list in {@link run}; callers record the results of their calls to peers.
 *
 * @example
 * const membership = new ListedMembershipService({ self, vms: platform.vms, clock, random });
 * const done = membership.run(signal);
 * membership.onDidChange((nodes) => placement.setNodes(nodes));
 */
export class ListedMembershipService extends MembershipService implements IDisposable {
  private readonly options: IListedMembershipOptions;
  private readonly didChange = new Emitter<readonly INode[]>();
  private readonly healthByAddress = new Map<string, PeerHealth>();
  private listed: readonly INode[] = [];
  private listedAddresses: ReadonlySet<string> | undefined;
  private live: readonly INode[];
  private expiryTimer: IDisposable | undefined;
  private readonly counters = { polls: 0, failedPolls: 0, suspicions: 0, changes: 0 };

  constructor(options: IListedMembershipOptions) {
    super();
    this.options = options;
    this.live = [options.self];
    // A node that starts during an outage of the platform would otherwise know no peer to fetch the
    // configuration from, and would never become ready.
    this.listed = (options.seeds ?? []).map((address) => ({ address, failureDomain: '' }));
    this.updateLiveNodes();
  }

  override readonly onDidChange: Event<readonly INode[]> = (listener) =>
    this.didChange.onDidFire(listener);

  override getLiveNodes(): readonly INode[] {
    return this.live;
  }

  override recordContact(address: string): void {
    this.healthByAddress.get(address)?.recordContact(this.getNow());
  }

  override recordFailure(address: string): void {
    if (address === this.options.self.address) return;
    if (!this.getPeerHealth(address).recordFailure(this.getNow())) return;
    this.counters.suspicions += 1;
    this.updateLiveNodes();
  }

  override recordShutdown(address: string): void {
    if (address === this.options.self.address) return;
    this.getPeerHealth(address).recordShutdown(this.getNow());
    this.updateLiveNodes();
  }

  /** Returns the counts since the start. */
  getCounters(): IMembershipCounters {
    return { ...this.counters };
  }

  /**
   * Returns the nodes that the platform lists as live, regardless of this node's own calls to them.
   */
  getListedNodes(): readonly INode[] {
    return this.listed;
  }

  /**
   * Whether the platform lists a VM at the address, live or shutting down. True until the list has
   * been read once: without evidence no node may be considered removed.
   */
  isListed(address: string): boolean {
    return this.listedAddresses?.has(address) ?? true;
  }

  /** Polls the list until `signal` aborts. While it can't be read, the last one stays in effect. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    let consecutiveFailures = 0;
    while (!signal.aborted) {
      const isRead = await this.tryPoll(signal);
      consecutiveFailures = isRead ? 0 : consecutiveFailures + 1;
      const delayMs = this.getPollDelay(consecutiveFailures);
      await clock.sleep(random.getJittered(delayMs, 0.5), signal).catch(() => undefined);
    }
  }

  dispose(): void {
    void this.expiryTimer?.dispose();
    this.didChange.dispose();
  }

  /**
   * Returns the mean delay of the next poll, in ms, which doubles with each consecutive failure.
   *
   * At a fixed rate, the polls of the whole fleet would arrive together after an outage of hours,
   * while the platform is still recovering; slower, jittered polls during the outage spread them.
   */
  private getPollDelay(consecutiveFailures: number): number {
    const { pollMs = DEFAULT_POLL_MS, maxPollMs = DEFAULT_MAX_POLL_MS } = this.options;
    const intervalMs = computeSharedInterval({
      baseMs: pollMs,
      nodes: this.listed.length,
      fleetPerSecond: this.options.fleetPollsPerSecond ?? DEFAULT_FLEET_POLLS_PER_SECOND,
    });
    const grownMs = intervalMs * 2 ** Math.min(consecutiveFailures, 10);
    return Math.min(grownMs, Math.max(intervalMs, maxPollMs));
  }

  private async tryPoll(signal: AbortSignal): Promise<boolean> {
    this.counters.polls += 1;
    // The platform's client joins the signal with its own timeout; see JoinedSignal.
    const joined = new JoinedSignal([signal]);
    try {
      this.applyList(await this.options.vms.list(joined.signal));
      return true;
    } catch {
      this.counters.failedPolls += 1;
      return false;
    } finally {
      joined.dispose();
    }
  }

  private applyList(vms: readonly IVm[]): void {
    // This node is running, so a list without any VM is a fault of the platform. If it were
    // applied, every node would consider itself the home of all shards at the same time.
    if (vms.length === 0) return;
    this.listed = vms.filter((vm) => vm.state === VmState.Live).map(toNode);
    const addresses = new Set(vms.map((vm) => vm.address));
    this.listedAddresses = addresses;
    for (const address of this.healthByAddress.keys()) {
      if (!addresses.has(address)) this.healthByAddress.delete(address);
    }
    this.updateLiveNodes();
  }

  private updateLiveNodes(): void {
    const { self } = this.options;
    const nowMs = this.getNow();
    const peers = this.listed.filter((node) => {
      return node.address !== self.address && this.isUsable(node.address, nowMs);
    });
    this.startExpiryTimer(nowMs);
    const live = [...peers, self].sort(compareAddresses);
    if (isSameSet(live, this.live)) return;
    this.live = live;
    this.counters.changes += 1;
    this.didChange.fire(live);
  }

  private isUsable(address: string, nowMs: number): boolean {
    return this.healthByAddress.get(address)?.isUsable(nowMs) ?? true;
  }

  /**
   * Makes peers usable again when a suspicion or a shutdown notice expires, with one timer for all.
   */
  private startExpiryTimer(nowMs: number): void {
    void this.expiryTimer?.dispose();
    let earliestMs = Infinity;
    for (const health of this.healthByAddress.values()) {
      const fromMs = health.getUsableFrom();
      if (fromMs > nowMs) earliestMs = Math.min(earliestMs, fromMs);
    }
    if (earliestMs === Infinity) return;
    const delayMs = earliestMs - nowMs;
    this.expiryTimer = this.options.clock.startTimer(delayMs, () => {
      this.updateLiveNodes();
    });
  }

  private getPeerHealth(address: string): PeerHealth {
    const known = this.healthByAddress.get(address);
    if (known !== undefined) return known;
    const health = new PeerHealth(this.options.suspicion);
    this.healthByAddress.set(address, health);
    return health;
  }

  private getNow(): number {
    return this.options.clock.getMonotonicTime();
  }
}

function toNode(vm: IVm): INode {
  return { address: vm.address, failureDomain: vm.failureDomain };
}

function compareAddresses(left: INode, right: INode): number {
  if (left.address === right.address) return 0;
  return left.address < right.address ? -1 : 1;
}

function isSameSet(left: readonly INode[], right: readonly INode[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((node, index) => {
    const other = right[index];
    return node.address === other?.address && node.failureDomain === other.failureDomain;
  });
}
