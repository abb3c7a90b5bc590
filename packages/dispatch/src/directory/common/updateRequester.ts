/** Requests updates from other nodes when none arrive, or when other nodes have a newer configuration. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import type { AnnouncedVersions } from './announcedVersions.js';
import type { CopyMonitor } from './copyMonitor.js';

/** Interval at which a newer configuration is requested until it is in force, in ms. */
const NEWER_INTERVAL_MS = 150;

/** Options of an {@link UpdateRequester}. */
export interface IUpdateRequesterOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly announced: AnnouncedVersions;
  readonly monitor: CopyMonitor;
  /** Lists the addresses of nodes that are likely to have current copies, in the order to ask them. */
  readonly listSources: () => readonly string[];
  /** How long a newer configuration may be known without being in force, in ms; infinite for any time. */
  readonly getNewerWaitMs: () => number;
  /** Requests an update from a node. */
  readonly sendRequest: (address: string) => void;
  /** Called before a newer configuration is requested: the usual way has not brought it. */
  readonly onWillRequestNewer: () => void;
}

/**
 * Asks one node after the other, so that a source that is down or has no news itself costs one interval.
 * Nodes that can't reach the store, or that their peers have removed from the list of members, depend on it.
 *
 * @example
 * const requester = new UpdateRequester({ announced, monitor, listSources, ... });
 */
export class UpdateRequester implements IDisposable {
  private readonly subscriptions: readonly IDisposable[];
  private timer: IDisposable | undefined;
  private asked = 0;
  /** The newest version whose request was logged. */
  private loggedVersion = 0;

  constructor(private readonly options: IUpdateRequesterOptions) {
    const { announced, listSources, monitor } = options;
    this.subscriptions = [
      monitor.onDidFindOutdated(() => {
        this.requestFrom(listSources());
      }),
      announced.onDidAnnounce(() => {
        this.startTimer(options.getNewerWaitMs());
      }),
    ];
  }

  dispose(): void {
    for (const subscription of this.subscriptions) void subscription.dispose();
    void this.timer?.dispose();
  }

  private startTimer(delayMs: number): void {
    if (this.timer !== undefined || delayMs === Infinity) return;
    this.timer = this.options.clock.startTimer(delayMs, () => {
      this.timer = undefined;
      this.checkNewer();
    });
  }

  private checkNewer(): void {
    const { announced, getNewerWaitMs, onWillRequestNewer } = this.options;
    const newest = announced.findNewest();
    if (newest === undefined) return;
    const remainingMs = getNewerWaitMs() - announced.getOldestAgeMs();
    if (remainingMs > 0) {
      this.startTimer(remainingMs);
      return;
    }
    this.logNewer(newest);
    onWillRequestNewer();
    this.requestFrom(announced.listSources());
    this.startTimer(NEWER_INTERVAL_MS);
  }

  private requestFrom(sources: readonly string[]): void {
    const source = sources[this.asked % sources.length];
    this.asked += 1;
    if (source !== undefined) this.options.sendRequest(source);
  }

  private logNewer(version: number): void {
    if (version <= this.loggedVersion) return;
    this.loggedVersion = version;
    const { announced, log } = this.options;
    log.warn('newer configuration not received; requesting it', {
      version,
      ageMs: Math.round(announced.getOldestAgeMs()),
      sources: announced.listSources(),
    });
  }
}
