/** Nodes tell each other of requests under which targets crash. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { Quarantine } from '@parsleymux/schema';
import { QuarantineSchema } from '@parsleymux/schema';
import type { DatagramChannel } from '../../grants/common/datagramChannel.js';
import type { ICrashHistoryRecord } from './crashHistory.js';
import { decodeRecord, encodeRecord } from './quarantineMessages.js';
import type { RequestQuarantine } from './requestQuarantine.js';

/** How often a node that knows of held requests tells some others, in ms. */
const GOSSIP_INTERVAL_MS = 1000;
/** Others that it tells each time: a node hears twice a second on average, however large the fleet is. */
const GOSSIP_FANOUT = 2;
/** Records in one datagram: some 250 bytes each at most. */
const MAX_RECORDS = 4;

/** Options of a {@link QuarantineGossip}. */
export interface IQuarantineGossipOptions {
  readonly channel: DatagramChannel;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Addresses of all nodes of the fleet. */
  readonly listMembers: () => readonly string[];
}

/**
 * A request that crashes targets comes again at any node, for any home. So the node that sees a change
 * tells all others at once; and since datagrams are lost and nodes start later, each node that knows of
 * held requests goes on telling some others that it picks by chance.
 *
 * @example
 * sharing.handleQuarantine(message);
 */
export class QuarantineGossip implements IDisposable {
  private readonly changeListener: IDisposable;
  private timer: IDisposable | undefined;
  private nextIndex = 0;
  private isDisposed = false;

  constructor(private readonly options: IQuarantineGossipOptions) {
    this.changeListener = options.quarantine.onDidChange((record) => {
      this.announce([record], this.listOthers());
      this.startTimer();
    });
  }

  /** Takes what another node knows. */
  handleQuarantine({ records }: Quarantine): void {
    for (const record of records) this.options.quarantine.applyRecord(decodeRecord(record));
    this.startTimer();
  }

  /** Takes what the store knows, and tells all others: they have started anew too. */
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

  /** A node that has nothing to tell is not woken. */
  private startTimer(): void {
    if (this.timer !== undefined || this.isDisposed) return;
    this.timer = this.options.clock.startTimer(GOSSIP_INTERVAL_MS, () => {
      this.timer = undefined;
      this.announceToRandomPeers();
    });
  }

  private announceToRandomPeers(): void {
    const known = this.options.quarantine.listShared();
    if (known.length === 0) return;
    // What doesn't fit has its turn the next times.
    const first = this.nextIndex % known.length;
    this.nextIndex = first + MAX_RECORDS;
    const records = [...known.slice(first), ...known.slice(0, first)].slice(0, MAX_RECORDS);
    this.announce(records, this.chooseRandomPeers());
    this.startTimer();
  }

  private chooseRandomPeers(): readonly string[] {
    const others = this.listOthers();
    if (others.length === 0) return [];
    return Array.from({ length: GOSSIP_FANOUT }, () => {
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
