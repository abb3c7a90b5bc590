/** Decides from connections to several targets whether this node itself has lost its path to them. */
import type { Clock, Event, IDisposable, Logger, RandomSource } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { ITargetRecord } from '@parsleymux/scheduling';

/** Time for which a failed connection is evidence, in ms. */
const FAILURE_MEMORY_MS = 6000;
/** Failed targets that are evidence against the path of the node; one may have failed itself. */
const MIN_FAILED_TARGETS = 2;
/** Pause between checks while the path is lost, in ms: its end is detected within half a second. */
const CHECK_INTERVAL_MS = 250;

/** Options of a {@link PathMonitor}. */
export interface IPathMonitorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  /** Targets that may receive requests, of all services. */
  readonly listTargets: () => readonly ITargetRecord[];
  /** Opens a connection to a target; resolves with whether it succeeded. Never rejects. */
  readonly tryConnect: (target: ITargetRecord) => Promise<boolean>;
}

/**
 * A failed connection may be the fault of its target or of this node's path. After a failure, the monitor
 * opens connections to other targets until as many were reached as have failed, or one more fails. Only new
 * connections count: connections from before a partition may work although no new one can be opened.
 *
 * @example
 * if (await monitor.verifyFailure(target)) sendThroughPeer(); // the path is lost
 */
export class PathMonitor implements IDisposable {
  private readonly lost = new Emitter<void>();
  /** Time of the last failure by target, the oldest first, in ms of the monotonic clock. */
  private readonly failedMs = new Map<string, number>();
  /** Targets reached since the first failure. */
  private readonly reached = new Set<string>();
  private verification: Promise<void> | undefined;
  private silenceCheck: Promise<void> | undefined;
  private lostMs: number | undefined;
  private lastLostMs = -Infinity;
  /** When a connection hung to a target that can't be reached, in ms of the monotonic clock. */
  private lastHangMs = -Infinity;
  private timer: IDisposable | undefined;
  private isDisposed = false;

  /** Fires when the path is lost; connections from before may hang. */
  readonly onDidLose: Event<void> = this.lost.onDidFire;

  constructor(private readonly options: IPathMonitorOptions) {}

  /** Whether new connections to targets fail because of this node's own path. */
  get isLost(): boolean {
    return this.lostMs !== undefined;
  }

  /**
   * Whether kept connections may hang: a failure is unexplained, a silent target is being checked, or one has hung
   * recently.
   */
  get isInDoubt(): boolean {
    const sinceHangMs = this.options.clock.getMonotonicTime() - this.lastHangMs;
    if (sinceHangMs < FAILURE_MEMORY_MS || this.silenceCheck !== undefined) return true;
    return this.failedMs.size > this.reached.size;
  }

  /** Whether this node can send to the target itself, as far as it knows. */
  hasPath({ id }: ITargetRecord): boolean {
    return !this.isLost || this.reached.has(id);
  }

  /** Whether the path is lost, or was lost since `sinceMs` of the monotonic clock. */
  hasLostPathSince(sinceMs: number): boolean {
    return this.isLost || this.lastLostMs >= sinceMs;
  }

  /** Records a failed connection; resolves with whether the path of this node is lost. */
  async verifyFailure(target: ITargetRecord): Promise<boolean> {
    this.recordFailed(target);
    if (!this.isLost) {
      this.verification ??= this.verify().finally(() => (this.verification = undefined));
      await this.verification;
    }
    return !this.hasPath(target);
  }

  /**
   * Checks the path because a target has not responded on a connection that may hang; resolves with whether the
   * path is lost.
   */
  async checkSilence(target: ITargetRecord): Promise<boolean> {
    if (!this.isLost) {
      this.silenceCheck ??= this.runSilenceCheck(target).finally(() => {
        this.silenceCheck = undefined;
      });
      await this.silenceCheck;
    }
    return this.isLost;
  }

  dispose(): void {
    this.isDisposed = true;
    void this.timer?.dispose();
  }

  private async runSilenceCheck(target: ITargetRecord): Promise<void> {
    if (await this.options.tryConnect(target)) return;
    this.lastHangMs = this.options.clock.getMonotonicTime();
    await this.verifyFailure(target);
  }

  private async verify(): Promise<void> {
    while (!this.isLost && this.failedMs.size > this.reached.size) {
      const other = this.pickUnknown();
      if (other === undefined) {
        this.markLost();
        return;
      }
      const isReached = await this.options.tryConnect(other);
      if (isReached) this.recordReached(other);
      else this.recordFailed(other);
      if (!isReached && this.failedMs.size >= MIN_FAILED_TARGETS) this.markLost();
    }
  }

  /** A target of which nothing is known since the first failure, of another service if possible. */
  private pickUnknown(): ITargetRecord | undefined {
    const targets = this.options.listTargets();
    const failedServices = new Set(
      targets.filter(({ id }) => this.failedMs.has(id)).map(({ service }) => service),
    );
    const unknown = targets.filter(({ id }) => !this.failedMs.has(id) && !this.reached.has(id));
    const elsewhere = unknown.filter(({ service }) => !failedServices.has(service));
    const candidates = elsewhere.length > 0 ? elsewhere : unknown;
    return candidates[this.options.random.getInteger(Math.max(1, candidates.length))];
  }

  private recordFailed({ id }: ITargetRecord): void {
    this.removeExpired();
    if (this.failedMs.size === 0) this.reached.clear();
    this.reached.delete(id);
    // Moved to the end, so that checks take turns.
    this.failedMs.delete(id);
    this.failedMs.set(id, this.options.clock.getMonotonicTime());
  }

  private recordReached({ id }: ITargetRecord): void {
    if (this.failedMs.delete(id) && this.isLost) {
      this.markRestored();
      return;
    }
    if (this.failedMs.size === 0 && !this.isLost) return;
    this.reached.add(id);
    // All targets that had failed may have left the list meanwhile.
    const failed = this.failedMs.size === 0 ? MIN_FAILED_TARGETS : this.failedMs.size;
    if (this.reached.size >= failed) this.markRestored();
  }

  private removeExpired(): void {
    if (this.isLost) return;
    const oldestMs = this.options.clock.getMonotonicTime() - FAILURE_MEMORY_MS;
    for (const [id, atMs] of this.failedMs) if (atMs < oldestMs) this.failedMs.delete(id);
  }

  private markLost(): void {
    if (this.isLost || this.isDisposed) return;
    this.lostMs = this.options.clock.getMonotonicTime();
    this.lastLostMs = this.lostMs;
    this.options.log.warn('path to targets lost', {
      failed: this.failedMs.size,
      reached: this.reached.size,
      oldestFailureAgeMs: Math.round(this.lostMs - Math.min(...this.failedMs.values())),
    });
    this.lost.fire();
    this.startTimer();
  }

  private markRestored(): void {
    if (this.lostMs === undefined) return;
    const lostForMs = Math.round(this.options.clock.getMonotonicTime() - this.lostMs);
    this.options.log.info('path to targets restored', {
      failed: this.failedMs.size,
      reached: this.reached.size,
      lostForMs,
    });
    this.lostMs = undefined;
    // A partition ends for all targets at once, so earlier failures are no longer evidence.
    this.failedMs.clear();
    this.reached.clear();
    void this.timer?.dispose();
  }

  private startTimer(): void {
    if (this.isDisposed || !this.isLost) return;
    this.timer = this.options.clock.startTimer(CHECK_INTERVAL_MS, () => {
      void this.checkAgain().then(() => {
        this.startTimer();
      });
    });
  }

  /** Checks the target whose failure is oldest, and one of which nothing is known. */
  private async checkAgain(): Promise<void> {
    const targets = this.options.listTargets();
    const known = new Map(targets.map((target) => [target.id, target]));
    for (const id of this.failedMs.keys()) if (!known.has(id)) this.failedMs.delete(id);
    const [oldestId = ''] = this.failedMs.keys();
    const checked = [known.get(oldestId), this.pickUnknown()].filter((target) => {
      return target !== undefined;
    });
    if (checked.length === 0) {
      this.markRestored();
      return;
    }
    await Promise.all(
      checked.map(async (target) => {
        const isReached = await this.options.tryConnect(target);
        if (!this.isLost) return;
        if (isReached) this.recordReached(target);
        else this.recordFailed(target);
      }),
    );
  }
}
