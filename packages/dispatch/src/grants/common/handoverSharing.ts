/** Sends the state of active homes to the nodes that would take over from them, and applies it there. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import type { Handover } from '@parsleymux/schema';
import type {
  HomeService,
  IServiceDigest,
  IServiceParts,
  ITakenDigest,
  PriorityCheck,
  QuotaReturns,
  ServiceScheduler,
} from '@parsleymux/scheduling';
import {
  ACTIVE_MS,
  applyDigest,
  DIGEST_INTERVAL_MS,
  DigestInbox,
  summarizeService,
} from '@parsleymux/scheduling';
import type { DatagramChannel } from './datagramChannel.js';
import { decodeHandover, encodeHandover } from './handoverMessages.js';

/** What a node sends at most in one interval, in bytes with headers. */
const MAX_BYTES = 2000;
/** Headers of the link, of IP and UDP, and of the datagram that contains the message. */
const HEADER_BYTES = 64;
/** Fits into one packet. */
const MAX_DIGEST_BYTES = 1200;
/** A digest of fewer bytes would be of little use. */
const MIN_DIGEST_BYTES = 136;

/** Options of a {@link HandoverSharing}. */
export interface IHandoverSharingOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  readonly log: Logger;
  readonly isEnabled: () => boolean;
  /** Leads with other priorities are ignored. */
  readonly hasPriority: PriorityCheck;
  /** Homes of a service in order of preference. */
  readonly rankHomes: (service: string) => readonly string[];
  /** Room in quotas that is reserved for refused callers. Default: none. */
  readonly quotaReturns?: QuotaReturns;
}

/** Digests by what became of them. */
export interface IHandoverCounts {
  /** Datagrams. */
  readonly sent: number;
  readonly received: number;
  /** Received again, or after a newer one. */
  readonly outdated: number;
  readonly applied: number;
}

export const HANDOVER_EVENTS = ['sent', 'received', 'outdated', 'applied'] as const;

/**
 * A home that takes over applies the newest digest of its predecessor before its first decision. Without one, it
 * decides on its own part.
 *
 * @example
 * sharing.start();
 */
export class HandoverSharing implements IDisposable {
  private timer: IDisposable | undefined;
  private readonly decisionListener: IDisposable;
  private readonly inbox = new DigestInbox<IServiceDigest>();
  private readonly startedMs: number;
  private readonly totals = { sent: 0, received: 0, outdated: 0, applied: 0 };
  private sequence = 0n;
  /** Number of active services whose turn it was, of those that take turns. */
  private turn = 0;

  constructor(private readonly options: IHandoverSharingOptions) {
    this.startedMs = options.clock.getWallTime();
    this.decisionListener = options.homes.onWillDecide((service) => {
      this.takeOver(service);
    });
  }

  get counts(): IHandoverCounts {
    return { ...this.totals };
  }

  start(): void {
    this.timer = this.options.clock.startTimer(DIGEST_INTERVAL_MS, () => {
      this.announceAll(false);
      this.inbox.removeOthers(new Set(this.options.homes.listServices()));
      this.start();
    });
  }

  /** Sends the last digests immediately, as the home stops. */
  announce(): void {
    void this.timer?.dispose();
    this.announceAll(true);
  }

  /** Handles the digest of another home. */
  handleHandover(sender: string, message: Handover): void {
    const { clock, homes, isEnabled } = this.options;
    const { sequence, service, startedMs, stopping } = message;
    if (!isEnabled() || homes.listTargets(service).length === 0) return;
    const origin = { sender, startedMs: Number(startedMs), sequence, isLast: stopping };
    const digest = decodeHandover(message);
    const isNew = this.inbox.record(service, origin, digest, clock.getMonotonicTime());
    this.totals[isNew ? 'received' : 'outdated'] += 1;
  }

  dispose(): void {
    void this.decisionListener.dispose();
    void this.timer?.dispose();
  }

  private announceAll(isLast: boolean): void {
    const { channel, homes, isEnabled, rankHomes } = this.options;
    if (!isEnabled()) return;
    const active = homes
      .listSchedulers()
      // An entry that decides locally has a small part of the state, and would replace the home's.
      .filter(([service, scheduler]) => {
        return scheduler.isActive(ACTIVE_MS) && rankHomes(service).includes(channel.address);
      })
      .map(([service, scheduler]) => {
        const receivers = rankHomes(service).filter((home) => home !== channel.address);
        return { service, scheduler, receivers };
      })
      .filter(({ receivers }) => receivers.length > 0);
    if (active.length === 0) return;
    const bytesByReceiver =
      MAX_BYTES / Math.max(...active.map(({ receivers }) => receivers.length));
    const mostDigests = Math.floor(bytesByReceiver / (MIN_DIGEST_BYTES + HEADER_BYTES));
    const count = Math.min(active.length, mostDigests);
    const maxBytes = Math.min(MAX_DIGEST_BYTES, Math.floor(bytesByReceiver / count) - HEADER_BYTES);
    for (let index = 0; index < count; index += 1) {
      const one = active[(this.turn + index) % active.length];
      if (one !== undefined) this.send(one, isLast, maxBytes);
    }
    this.turn = (this.turn + count) % active.length;
  }

  private send(
    { receivers, scheduler, service }: IServiceParts & { readonly receivers: readonly string[] },
    isLast: boolean,
    maxBytes: number,
  ): void {
    const { channel, clock } = this.options;
    this.sequence += 1n;
    const { sequence, startedMs } = this;
    const digest = summarizeService(this.makeParts(service, scheduler), clock.getMonotonicTime());
    const value = encodeHandover({ service, startedMs, sequence, isLast }, digest, maxBytes);
    for (const home of receivers) {
      channel.send(home, { case: 'handover', value });
      this.totals.sent += 1;
    }
  }

  private takeOver(service: string): void {
    const { clock, homes, isEnabled } = this.options;
    const scheduler = homes.findScheduler(service);
    if (!isEnabled() || scheduler === undefined) return;
    const nowMs = clock.getMonotonicTime();
    const taken = this.inbox.take(service, !scheduler.isActive(ACTIVE_MS), nowMs);
    if (taken !== undefined) this.apply(service, scheduler, taken, nowMs);
  }

  private apply(
    service: string,
    scheduler: ServiceScheduler,
    { ageMs, cause, digest, sender }: ITakenDigest<IServiceDigest>,
    nowMs: number,
  ): void {
    const { hasPriority, log } = this.options;
    // Times of the digest are relative to its receipt.
    const places = digest.places.map((place) => {
      return { ...place, inMs: place.inMs - ageMs, ageMs: place.ageMs + ageMs };
    });
    const speeds = digest.speeds.map((speed) => ({ ...speed, ageMs: speed.ageMs + ageMs }));
    const parts = this.makeParts(service, scheduler);
    applyDigest(parts, { ...digest, places, speeds }, hasPriority, nowMs);
    this.totals.applied += 1;
    log.info('home applies digest', {
      service,
      sender,
      cause,
      ageMs: Math.round(ageMs),
      places: places.length,
      leads: digest.leads.length,
      speeds: speeds.length,
    });
  }

  private makeParts(service: string, scheduler: ServiceScheduler): IServiceParts {
    return { service, scheduler, quotaReturns: this.options.quotaReturns };
  }
}
