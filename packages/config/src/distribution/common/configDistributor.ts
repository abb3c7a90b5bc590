/** Keeps a node's configuration current from the platform's store and from other nodes. */
import type { Event } from '@parsleymux/base';
import { Emitter, JoinedSignal } from '@parsleymux/base';
import type { IFleetConfig, IFleetConfigChange } from '../../fleetConfig/common/fleetConfig.js';
import { ConfigService } from '../../fleetConfig/common/fleetConfig.js';
import { AppliedConfig } from './appliedConfig.js';
import { executeWithTimeout } from './executeWithTimeout.js';
import type {
  IConfigDistributorOptions,
  IDistributionCounters,
} from './configDistributorOptions.js';
import type { ConfigPeer, IConfigSnapshot } from './configPeer.js';
import { DistributionTiming } from './distributionTiming.js';
import { StoreReader } from './storeReader.js';

const DEFAULT_ISOLATION_LIMIT_MS = 30_000;
const DEFAULT_CALL_TIMEOUT_MS = 3000;
/**
 * Longest wait for the answer to an announcement. It is a few bytes each way; a silent peer that
 * is waited for as long as for a download holds up the rumour, seen as changes that take seconds.
 */
const ANNOUNCE_TIMEOUT_MS = 1000;
/** Peers asked each round while the store answers: enough to notice a store that lags. */
const PEERS_PER_ROUND = 1;
/** Peers asked at start and during an outage. */
const PEERS_PER_ROUND_IN_OUTAGE = 3;
/** Peers told of a change; docs/decisions/21-distribution.md measures other numbers. */
const DEFAULT_FAN_OUT = 3;
/**
 * Polls the head row, fetches what changed, exchanges revisions with peers, and never goes back.
 *
 * @example
 * const distributor = new ConfigDistributor({ platform, peers, clock, random, invariants });
 * const running = distributor.run(signal);
 * await distributor.waitForReady(signal);
 */
export class ConfigDistributor extends ConfigService {
  private readonly didChange = new Emitter<IFleetConfigChange>();
  private readonly didBecomeReady = new Emitter<undefined>();
  private readonly applied: AppliedConfig;
  private readonly reader: StoreReader;
  private readonly timing: DistributionTiming;
  private wakeUp = new AbortController();
  private announcer: ConfigPeer | undefined;
  /** The highest revision heard of; what is applied may be behind it. */
  private highestKnownRevision = 0;
  private lastContactMs: number;
  private hasStore = true;
  private isReadyNow = false;
  private storeFailures = 0;
  private peerFailures = 0;
  private appliedFromStore = 0;
  private appliedFromPeers = 0;

  override readonly onDidChange: Event<IFleetConfigChange> = this.didChange.onDidFire;

  constructor(private readonly options: IConfigDistributorOptions) {
    super();
    this.applied = options.applied ?? new AppliedConfig(options.invariants);
    this.reader = new StoreReader(options.platform);
    this.timing = new DistributionTiming(options);
    this.lastContactMs = options.clock.getMonotonicTime();
  }

  override getCurrent(): IFleetConfig {
    return this.applied.getCurrent();
  }

  /** True once the highest revision of the store and several peers was applied. It stays true. */
  isReady(): boolean {
    return this.isReadyNow;
  }

  /** Neither store nor peers have answered for longer than the limit: refuse new work. */
  isIsolated(): boolean {
    const silentMs = this.getNow() - this.lastContactMs;
    return silentMs > (this.options.isolationLimitMs ?? DEFAULT_ISOLATION_LIMIT_MS);
  }

  /**
   * Word from store or peers is late, as after a pause: whoever can should go by another node,
   * which may know of plans that this one has missed.
   */
  isStale(): boolean {
    const silentMs = this.getNow() - this.lastContactMs;
    return this.isIsolated() || silentMs > this.timing.getStaleLimit();
  }

  /** What happened so far. */
  getCounters(): IDistributionCounters {
    return {
      dropped: this.applied.getDroppedCount(),
      storeFailures: this.storeFailures,
      peerFailures: this.peerFailures,
      appliedFromStore: this.appliedFromStore,
      appliedFromPeers: this.appliedFromPeers,
    };
  }

  /** What is in force here and newer than `fleetRevision`, for a peer that asks. */
  getAfter(fleetRevision: number): IConfigSnapshot {
    const current = this.getCurrent();
    const members = [...current.members.values()].filter((config) => {
      return Number(config.fleetRevision) > fleetRevision;
    });
    return { fleetRevision: current.fleetRevision, members };
  }

  /** A peer tells its revision; `announcer` is where to fetch it. Returns this node's own. */
  receiveAnnouncement(fleetRevision: number, announcer?: ConfigPeer): number {
    if (this.recordRevision(fleetRevision)) {
      this.announcer = announcer;
      this.wakeUp.abort(new Error('a newer revision was announced'));
    }
    return this.getCurrent().fleetRevision;
  }

  /** Resolves when {@link isReady} is true. Rejects when `signal` aborts. */
  async waitForReady(signal: AbortSignal): Promise<void> {
    if (this.isReadyNow) return;
    signal.throwIfAborted();
    await new Promise<void>((resolve, reject) => {
      const subscription = this.didBecomeReady.onDidFire(() => {
        void subscription.dispose();
        resolve();
      });
      signal.addEventListener('abort', () => {
        reject(signal.reason as Error);
      });
    });
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runRound(signal);
      await this.waitForNextRound(signal);
    }
  }

  /** One exchange with store and peers. Failures are counted, not thrown. */
  async runRound(signal: AbortSignal): Promise<void> {
    const before = this.getCurrent().fleetRevision;
    const isAnnounced = await this.fetchFromAnnouncer(signal);
    const hasStore = isAnnounced || (await this.fetchFromStore(signal));
    this.hasStore = hasStore;
    const peerCount = this.hasNewRevision(before)
      ? this.getFanOut()
      : this.getPeersPerRound(hasStore);
    const learnt = this.getCurrent().fleetRevision;
    const hasPeer = await this.announceToPeers(this.options.peers.pick(peerCount), signal);
    const isInformed = hasStore || (hasPeer && this.getCurrent().fleetRevision > 0);
    if (isInformed && this.getCurrent().fleetRevision >= this.highestKnownRevision) this.setReady();
    if (this.getCurrent().fleetRevision === learnt || before === 0) return;
    await this.announceToPeers(this.options.peers.pick(this.getFanOut()), signal);
  }

  /** A revision that was learnt while serving, and that peers may not have yet. */
  private hasNewRevision(before: number): boolean {
    return before > 0 && this.getCurrent().fleetRevision > before;
  }

  private getFanOut(): number {
    return this.options.fanOut ?? DEFAULT_FAN_OUT;
  }

  private getPeersPerRound(hasStore: boolean): number {
    return hasStore && this.isReadyNow ? PEERS_PER_ROUND : PEERS_PER_ROUND_IN_OUTAGE;
  }

  /** True when an announced revision was fetched from its announcer, which spares the store. */
  private async fetchFromAnnouncer(signal: AbortSignal): Promise<boolean> {
    const announcer = this.announcer;
    this.announcer = undefined;
    if (announcer === undefined || !this.isReadyNow) return false;
    return (await this.fetchFromPeer(announcer, signal)) && !this.isBehind();
  }

  /** True when the store answered. */
  private async fetchFromStore(signal: AbortSignal): Promise<boolean> {
    if (this.isBehind() && !this.isStoreReadDue()) return true;
    const startMs = this.getNow();
    try {
      const head = await this.executeWithCallTimeout(signal, (bounded) =>
        this.reader.fetchHead(bounded),
      );
      this.recordContact(startMs);
      this.recordRevision(head);
      const current = this.getCurrent();
      if (head < current.fleetRevision) this.applied.recordDropped();
      if (head <= current.fleetRevision || !this.isStoreReadDue()) return true;
      const snapshot = await this.executeWithCallTimeout(signal, (bounded) =>
        this.reader.fetchAfter(current.fleetRevision, head, this.listKnown(), bounded),
      );
      this.appliedFromStore += this.applySnapshot(snapshot);
      return true;
    } catch {
      if (!signal.aborted) this.storeFailures += 1;
      return false;
    }
  }

  /** Exchanges revisions with peers, and fetches from whoever is ahead. True when one answered. */
  private async announceToPeers(
    peers: readonly ConfigPeer[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const answers = await Promise.all(peers.map((peer) => this.announceTo(peer, signal)));
    const heard = answers.flatMap((revision, index) => {
      const peer = peers[index];
      return revision === undefined || peer === undefined ? [] : [{ peer, revision }];
    });
    heard.sort((left, right) => right.revision - left.revision);
    for (const { peer, revision } of heard) {
      if (revision <= this.getCurrent().fleetRevision) break;
      await this.fetchFromPeer(peer, signal);
    }
    return heard.length > 0;
  }

  /** The peer's revision, or undefined when the exchange did not complete. */
  private async announceTo(peer: ConfigPeer, signal: AbortSignal): Promise<number | undefined> {
    const own = this.getCurrent().fleetRevision;
    const startMs = this.getNow();
    try {
      const limitMs = Math.min(ANNOUNCE_TIMEOUT_MS, this.getCallTimeout());
      const revision = await executeWithTimeout(this.options.clock, limitMs, signal, (bounded) =>
        peer.announce(own, bounded),
      );
      this.recordContact(startMs);
      this.recordRevision(revision);
      return revision;
    } catch {
      if (!signal.aborted) this.peerFailures += 1;
      return undefined;
    }
  }

  private async fetchFromPeer(peer: ConfigPeer, signal: AbortSignal): Promise<boolean> {
    const own = this.getCurrent().fleetRevision;
    const startMs = this.getNow();
    try {
      const snapshot = await this.executeWithCallTimeout(signal, (bounded) =>
        peer.fetchAfter(own, bounded),
      );
      this.recordContact(startMs);
      this.appliedFromPeers += this.applySnapshot(snapshot);
      return true;
    } catch {
      if (!signal.aborted) this.peerFailures += 1;
      return false;
    }
  }

  private applySnapshot(snapshot: IConfigSnapshot): number {
    const changed = this.applied.apply(snapshot);
    if (changed.length > 0) this.didChange.fire({ config: this.getCurrent(), members: changed });
    return changed.length;
  }

  /** Waits for the poll interval, less when behind, or until a newer revision is announced. */
  private async waitForNextRound(signal: AbortSignal): Promise<void> {
    this.wakeUp = new AbortController();
    // Announced during the round: each hop of the rumour would wait a while otherwise.
    if (this.announcer !== undefined) return;
    const delayMs = this.timing.getDelay({ isBehind: this.isBehind(), hasStore: this.hasStore });
    const wakeUp = new JoinedSignal([signal, this.wakeUp.signal]);
    await this.options.clock.sleep(delayMs, wakeUp.signal).catch(() => undefined);
    wakeUp.dispose();
  }

  private isStoreReadDue(): boolean {
    return this.isReadyNow || this.timing.isStoreReadDue();
  }

  private isBehind(): boolean {
    return this.getCurrent().fleetRevision < this.highestKnownRevision;
  }

  /** True when the revision is higher than any heard of before. */
  private recordRevision(fleetRevision: number): boolean {
    if (fleetRevision <= this.highestKnownRevision) return false;
    this.highestKnownRevision = fleetRevision;
    return true;
  }

  private listKnown(): ReadonlyMap<string, number> {
    const members = [...this.getCurrent().members.values()];
    return new Map(members.map((config) => [config.member, Number(config.memberRevision)]));
  }

  /**
   * An exchange proves what was in force when it began. A process that was paused reads, when it
   * resumes, answers that came before the pause; counted from then, it would take a configuration
   * of long ago for the newest, and send work to targets that have left meanwhile.
   */
  private recordContact(startMs: number): void {
    this.lastContactMs = Math.max(this.lastContactMs, startMs);
  }

  private getNow(): number {
    return this.options.clock.getMonotonicTime();
  }

  private setReady(): void {
    if (this.isReadyNow) return;
    this.isReadyNow = true;
    this.didBecomeReady.fire(undefined);
  }

  private executeWithCallTimeout<T>(
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    return executeWithTimeout(this.options.clock, this.getCallTimeout(), signal, call);
  }

  private getCallTimeout(): number {
    return this.options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  }
}
