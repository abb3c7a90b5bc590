/** Requests updates from other nodes when none arrive, or when other nodes have a newer configuration. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import type { AnnouncedVersions } from './announcedVersions.js';
import type { CopyMonitor } from './copyMonitor.js';

/** Interval at which a newer configuration is requested until it is in force, in ms. */
const NEWER_INTERVAL_MS = 150;
/**
 * Shortest and longest interval between requests while copies are outdated, in ms. If the store is out, no node has
 * any, and at the short interval the followers of a large fleet would be busy with requests alone.
 */
const MIN_INTERVAL_MS = 150;
const MAX_INTERVAL_MS = 1200;
/** Number of requests at the shortest interval; it doubles with each further one. */
const EARLY_REQUESTS = 3;

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
 * Asks one node after the other, so that a source that is down or outdated itself costs one interval.
 * Nodes that can't reach the store, or that their peers have removed from the list of members, depend on it.
 *
 * @example
 * const requester = new UpdateRequester({ announced, monitor, listSources, ... });
 */
export class UpdateRequester implements IDisposable {
  private readonly subscriptions: readonly IDisposable[];
  private timer: IDisposable | undefined;
  private asked = 0;
  /** Requests since copies were current, and when the last one was sent. */
  private unanswered = 0;
  private askedMs = -Infinity;
  /** The newest version whose request was logged. */
  private loggedVersion = 0;

  constructor(private readonly options: IUpdateRequesterOptions) {
    const { announced, monitor } = options;
    this.subscriptions = [
      monitor.onDidFindOutdated(() => {
        this.requestUpdate();
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

  private requestUpdate(): void {
    const { clock, listSources } = this.options;
    const sinceMs = clock.getMonotonicTime() - this.askedMs;
    if (sinceMs > MAX_INTERVAL_MS * 2) this.unanswered = 0;
    const doublings = Math.max(0, this.unanswered - EARLY_REQUESTS);
    if (sinceMs < Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** doublings)) return;
    this.askedMs = clock.getMonotonicTime();
    this.unanswered += 1;
    this.requestFrom(listSources());
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
