/** Shares the crash histories of requests between the nodes of the fleet. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { Quarantine } from '@parsleymux/schema';
import { QuarantineSchema } from '@parsleymux/schema';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import type { ICrashHistoryRecord, RequestQuarantine } from '@parsleymux/scheduling';
import { decodeRecord, encodeRecord } from './quarantineMessages.js';

/** Interval at which a node that tracks quarantined requests sends them to some peers, in ms. */
const ROUND_INTERVAL_MS = 1000;
/** Number of peers per round: each node receives two messages a second on average, at any fleet size. */
const PEERS_PER_ROUND = 2;
/** Most records in one datagram, at up to about 250 bytes each. */
const MAX_RECORDS = 4;

/** Options of a {@link QuarantineSharing}. */
export interface IQuarantineSharingOptions {
  readonly channel: DatagramChannel;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Addresses of all nodes of the fleet. */
  readonly listMembers: () => readonly string[];
}

/**
 * Sends crash histories to the other nodes. A request that crashes targets may be repeated at any node and
 * scheduled by any home, so the node that observes a change immediately sends it to all others. Because
 * datagrams get lost and nodes start later, each node that tracks quarantined requests also sends them
 * repeatedly to randomly chosen peers.
 *
 * @example
 * sharing.handleQuarantine(message);
 */
export class QuarantineSharing implements IDisposable {
  private readonly changeListener: IDisposable;
  private timer: IDisposable | undefined;
  private nextIndex = 0;
  private isDisposed = false;

  constructor(private readonly options: IQuarantineSharingOptions) {
    this.changeListener = options.quarantine.onDidChange((record) => {
      this.announce([record], this.listOthers());
      this.startTimer();
    });
  }

  /** Applies the records received from another node. */
  handleQuarantine({ records }: Quarantine): void {
    for (const record of records) this.options.quarantine.applyRecord(decodeRecord(record));
    this.startTimer();
  }

  /** Applies the records read from the store, and sends them to all others, which have just started too. */
  handleStoredRecords(records: readonly ICrashHistoryRecord[]): void {
    for (const record of records) this.options.quarantine.applyRecord(record);
    for (let first = 0; first < records.length; first += MAX_RECORDS) {
      this.announce(records.slice(first, first + MAX_RECORDS), this.listOthers());
    }
    this.startTimer();
  }

  dispose(): void {
    void this.changeListener.dispose();
    void this.timer?.dispose();
    this.isDisposed = true;
  }

  /** Schedules the next round. The timer stops when there is nothing to send, so an idle node isn't woken. */
  private startTimer(): void {
    if (this.timer !== undefined || this.isDisposed) return;
    this.timer = this.options.clock.startTimer(ROUND_INTERVAL_MS, () => {
      this.timer = undefined;
      this.announceToRandomPeers();
    });
  }

  private announceToRandomPeers(): void {
    const shared = this.options.quarantine.listShared();
    if (shared.length === 0) return;
    // Records that don't fit in this datagram are sent in later rounds.
    const first = this.nextIndex % shared.length;
    this.nextIndex = first + MAX_RECORDS;
    const records = [...shared.slice(first), ...shared.slice(0, first)].slice(0, MAX_RECORDS);
    this.announce(records, this.chooseRandomPeers());
    this.startTimer();
  }

  private chooseRandomPeers(): readonly string[] {
    const others = this.listOthers();
    if (others.length === 0) return [];
    return Array.from({ length: PEERS_PER_ROUND }, () => {
      return others[this.options.random.getInteger(others.length)];
    }).flatMap((address) => address ?? []);
  }

  private announce(records: readonly ICrashHistoryRecord[], addresses: readonly string[]): void {
    const value = create(QuarantineSchema, { records: records.map(encodeRecord) });
    for (const address of addresses) {
      this.options.channel.send(address, { case: 'quarantine', value });
    }
  }

  private listOthers(): readonly string[] {
    const { channel, listMembers } = this.options;
    return listMembers().filter((address) => address !== channel.address);
  }
}
