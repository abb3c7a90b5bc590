/** Sends the retry counts of active homes to the nodes that would take over from them. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable } from '@parsleymux/base';
import type { RetryUse } from '@parsleymux/schema';
import { RetryCountsSchema, RetryUseSchema } from '@parsleymux/schema';
import type { HomeService, IRetryCounts, ServiceScheduler } from '@parsleymux/scheduling';
import type { DatagramChannel } from './datagramChannel.js';
import { toUint32 } from './integerFields.js';
import { ACTIVE_MS, SHARE_INTERVAL_MS } from '@parsleymux/scheduling';

/** Options of a {@link RetrySharing}. */
export interface IRetrySharingOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  /** Distinguishes this process from earlier ones at the same address. */
  readonly incarnation: number;
  /** Homes of a service in order of preference. */
  readonly rankHomes: (service: string) => readonly string[];
}

/**
 * The retry limit applies to all nodes together, while a home counts only its own grants. The shared
 * counts outlive their home: the next home adds its own counts and forwards those it received.
 *
 * @example
 * sharing.start();
 */
export class RetrySharing implements IDisposable {
  private timer: IDisposable | undefined;
  private readonly schedulerListener: IDisposable;
  private sequence = 0n;
  /** By service: the time since which this node is among its homes, in ms of the monotonic clock. */
  private readonly rankedSinceMs = new Map<string, number>();

  constructor(private readonly options: IRetrySharingOptions) {
    this.schedulerListener = options.homes.onDidCreateScheduler((service) => {
      this.updateRank(service);
    });
  }

  start(): void {
    this.updateRanks();
    this.timer = this.options.clock.startTimer(SHARE_INTERVAL_MS, () => {
      this.announce();
      this.start();
    });
  }

  /** Sends the counts immediately: when a home stops, grants since its last message would be lost. */
  announce(): void {
    for (const [service, scheduler] of this.options.homes.listSchedulers()) {
      if (scheduler.isActive(ACTIVE_MS)) this.announceScheduler(service, scheduler);
    }
  }

  /** Handles the counts received from another home. */
  handleRetryUse(message: RetryUse): void {
    const { clock, homes } = this.options;
    const { retries } = homes.getScheduler(message.service);
    // Parts of another length can't be added to this window; the sender temporarily has other settings.
    if (message.partMs !== retries.partMs) return;
    const nowMs = clock.getMonotonicTime();
    const counts = message.counts
      .filter(({ home }) => home !== this.name)
      .map((one): IRetryCounts => {
        const { home, requests, retries: sent, sequence } = one;
        return { home, sequence, requests, retries: sent, countedMs: nowMs - one.ageMs };
      });
    retries.recordPeerCounts(counts, message.complete, nowMs);
  }

  dispose(): void {
    void this.schedulerListener.dispose();
    void this.timer?.dispose();
  }

  private get name(): string {
    const { channel, incarnation } = this.options;
    return `${channel.address}/${incarnation}`;
  }

  private updateRanks(): void {
    for (const service of this.options.homes.listServices()) this.updateRank(service);
  }

  /** Records the time since which this node is among the homes of a service. */
  private updateRank(service: string): void {
    const { channel, clock, homes, rankHomes } = this.options;
    const isRanked = rankHomes(service).includes(channel.address);
    if (!isRanked) this.rankedSinceMs.delete(service);
    else if (!this.rankedSinceMs.has(service)) {
      this.rankedSinceMs.set(service, clock.getMonotonicTime());
    }
    homes.findScheduler(service)?.retries.setReceivingSince(this.rankedSinceMs.get(service));
  }

  private announceScheduler(service: string, { retries }: ServiceScheduler): void {
    const { channel, clock, rankHomes } = this.options;
    const nowMs = clock.getMonotonicTime();
    this.sequence += 1n;
    const own: IRetryCounts = {
      ...retries.listOwn(nowMs),
      home: this.name,
      sequence: this.sequence,
      countedMs: nowMs,
    };
    const value = create(RetryUseSchema, {
      service,
      partMs: toUint32(retries.partMs),
      complete: retries.isComplete(nowMs),
      counts: [own, ...retries.listOthers(nowMs)].map((counts) => encodeCounts(counts, nowMs)),
    });
    for (const home of rankHomes(service)) {
      if (home !== channel.address) channel.send(home, { case: 'retryUse', value });
    }
  }
}

function encodeCounts({ countedMs, ...counts }: IRetryCounts, nowMs: number) {
  return create(RetryCountsSchema, {
    home: counts.home,
    sequence: counts.sequence,
    ageMs: toUint32(nowMs - countedMs),
    requests: [...counts.requests],
    retries: [...counts.retries],
  });
}
