/** Updates a node's configuration from the platform's store and from peers. */
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
 * Timeout of an announcement. An announcement is a few bytes each way. With the timeout of a
 * download, one unresponsive peer would delay the propagation of a change by seconds.
 */
const ANNOUNCE_TIMEOUT_MS = 1000;
/** Peers contacted per round while the store responds: enough to detect that the store lags. */
const PEERS_PER_ROUND = 1;
/** Peers contacted per round at startup and during an outage of the store. */
const PEERS_PER_ROUND_IN_OUTAGE = 3;
/** Peers that a change is announced to; docs/decisions/21-distribution.md compares other values. */
const DEFAULT_FAN_OUT = 3;

/**
 * Polls the head row, fetches changes and exchanges revisions with peers. The applied configuration
 * never reverts to an older revision.
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
  /** The highest revision received from the store or a peer; the applied one may be lower. */
  private highestKnownRevision = 0;
  private lastContactMs: number;
  private isStoreAvailable = true;
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

  /** True once the highest revision of the store and several peers was applied; never false again. */
  isReady(): boolean {
    return this.isReadyNow;
  }

  /** True when neither store nor peers have responded within the limit: new work must be rejected. */
  isIsolated(): boolean {
    const sinceContactMs = this.getNow() - this.lastContactMs;
    return sinceContactMs > (this.options.isolationLimitMs ?? DEFAULT_ISOLATION_LIMIT_MS);
  }

  /**
   * True when the last response from store or peers is overdue, such as after a pause of the process.
   * Requests should then go through another node where possible, because this node may have missed
   * a confirmed plan.
   */
  isStale(): boolean {
    const sinceContactMs = this.getNow() - this.lastContactMs;
    return this.isIsolated() || sinceContactMs > this.timing.getStaleLimit();
  }

  /** Returns the counters since the start. */
  getCounters(): IDistributionCounters {
    return {
      dropped: this.applied.getDroppedCount(),
      storeFailures: this.storeFailures,
      peerFailures: this.peerFailures,
      appliedFromStore: this.appliedFromStore,
      appliedFromPeers: this.appliedFromPeers,
    };
  }

  /** Returns the applied configurations that are newer than `fleetRevision`, for a peer's request. */
  getAfter(fleetRevision: number): IConfigSnapshot {
    const current = this.getCurrent();
    const members = [...current.members.values()].filter((config) => {
      return Number(config.fleetRevision) > fleetRevision;
    });
    return { fleetRevision: current.fleetRevision, members };
  }

  /**
   * Handles a peer's announcement of its revision, which can be fetched from `announcer`. Returns
   * this node's revision.
   */
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

  /** Runs one exchange with store and peers. Failures are counted, not thrown. */
  async runRound(signal: AbortSignal): Promise<void> {
    const before = this.getCurrent().fleetRevision;
    const isAnnounced = await this.fetchFromAnnouncer(signal);
    const isStoreAvailable = isAnnounced || (await this.fetchFromStore(signal));
    this.isStoreAvailable = isStoreAvailable;
    const peerCount = this.hasNewRevision(before)
      ? this.getFanOut()
      : this.getPeersPerRound(isStoreAvailable);
    const fetchedRevision = this.getCurrent().fleetRevision;
    const hasPeerResponse = await this.announceToPeers(this.options.peers.pick(peerCount), signal);
    const hasSource = isStoreAvailable || (hasPeerResponse && this.getCurrent().fleetRevision > 0);
    if (hasSource && this.getCurrent().fleetRevision >= this.highestKnownRevision) this.setReady();
    if (this.getCurrent().fleetRevision === fetchedRevision || before === 0) return;
    await this.announceToPeers(this.options.peers.pick(this.getFanOut()), signal);
  }

  /** True when a revision that peers may not have yet was applied after the initial one. */
  private hasNewRevision(before: number): boolean {
    return before > 0 && this.getCurrent().fleetRevision > before;
  }

  private getFanOut(): number {
    return this.options.fanOut ?? DEFAULT_FAN_OUT;
  }

  private getPeersPerRound(isStoreAvailable: boolean): number {
    return isStoreAvailable && this.isReadyNow ? PEERS_PER_ROUND : PEERS_PER_ROUND_IN_OUTAGE;
  }

  /** True when an announced revision was fetched from its announcer, which saves a read of the store. */
  private async fetchFromAnnouncer(signal: AbortSignal): Promise<boolean> {
    const announcer = this.announcer;
    this.announcer = undefined;
    if (announcer === undefined || !this.isReadyNow) return false;
    return (await this.fetchFromPeer(announcer, signal)) && !this.isBehind();
  }

  /** True when the store responded, or when this node's turn to read from it has not come yet. */
  private async fetchFromStore(signal: AbortSignal): Promise<boolean> {
    if (this.isBehind() && !this.isStoreReadDue()) return true;
    const startMs = this.getNow();
    try {
      const head = await this.executeWithCallTimeout(signal, (callSignal) =>
        this.reader.fetchHead(callSignal),
      );
      this.recordContact(startMs);
      this.recordRevision(head);
      const current = this.getCurrent();
      if (head < current.fleetRevision) this.applied.recordDropped();
      if (head <= current.fleetRevision || !this.isStoreReadDue()) return true;
      const snapshot = await this.executeWithCallTimeout(signal, (callSignal) =>
        this.reader.fetchAfter(current.fleetRevision, head, this.listKnown(), callSignal),
      );
      this.appliedFromStore += this.applySnapshot(snapshot);
      return true;
    } catch {
      if (!signal.aborted) this.storeFailures += 1;
      return false;
    }
  }

  /** Exchanges revisions with peers and fetches from those that are ahead. True when one responded. */
  private async announceToPeers(
    peers: readonly ConfigPeer[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const revisions = await Promise.all(peers.map((peer) => this.announceTo(peer, signal)));
    const responses = revisions.flatMap((revision, index) => {
      const peer = peers[index];
      return revision === undefined || peer === undefined ? [] : [{ peer, revision }];
    });
    responses.sort((left, right) => right.revision - left.revision);
    for (const { peer, revision } of responses) {
      if (revision <= this.getCurrent().fleetRevision) break;
      await this.fetchFromPeer(peer, signal);
    }
    return responses.length > 0;
  }

  /** The peer's revision, or undefined when the exchange did not complete. */
  private async announceTo(peer: ConfigPeer, signal: AbortSignal): Promise<number | undefined> {
    const localRevision = this.getCurrent().fleetRevision;
    const startMs = this.getNow();
    try {
      const timeoutMs = Math.min(ANNOUNCE_TIMEOUT_MS, this.getCallTimeout());
      const revision = await executeWithTimeout(
        this.options.clock,
        timeoutMs,
        signal,
        (callSignal) => peer.announce(localRevision, callSignal),
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
    const localRevision = this.getCurrent().fleetRevision;
    const startMs = this.getNow();
    try {
      const snapshot = await this.executeWithCallTimeout(signal, (callSignal) =>
        peer.fetchAfter(localRevision, callSignal),
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
    // A revision announced during the round is fetched immediately, or each hop would add a delay.
    if (this.announcer !== undefined) return;
    const delayMs = this.timing.getDelay({
      isBehind: this.isBehind(),
      isStoreAvailable: this.isStoreAvailable,
    });
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

  /** Records a received revision. True when it is higher than all earlier ones. */
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
   * Records a contact at the start of the exchange, because a response shows only what was in force
   * then. A process that resumes after a pause reads responses that arrived before the pause. If the
   * time of reading counted, the node would use an outdated configuration as the newest one and send
   * work to targets that were removed during the pause.
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
