/** Fetches tables from peers. */
import { fromBinary } from '@bufbuild/protobuf';
import type { Clock, Logger } from '@parsleymux/base';
import { computeEarlierInstant, readInstant } from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import VError from 'verror';
import type { FollowedTable } from './followedTable.js';
import type { TableEncoder } from './tableEncoder.js';
import type { TableTransport } from './tableTransport.js';

/**
 * Timeout of a fetch, in ms. When a fleet starts, sixty nodes fetch tables of 70 KB from one node, which
 * takes 1.7 s on a link of 20 Mbit/s. With a shorter timeout and retries, most fetches would fail.
 */
const FETCH_TIMEOUT_MS = 2000;

/** Options of a {@link TableFetcher}. */
export interface ITableFetcherOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly encoder: TableEncoder;
  readonly transport: TableTransport;
}

/**
 * Updates a table from the copy of a peer.
 *
 * @example
 * await new TableFetcher(options).fetch(directory.catalog, '10.1.0.4:7201');
 */
export class TableFetcher {
  constructor(private readonly options: ITableFetcherOptions) {}

  /** Rejects if the peer doesn't respond in time. */
  async fetch(table: FollowedTable<unknown>, stateAddress: string): Promise<void> {
    const { clock, transport } = this.options;
    const cancelled = new AbortController();
    const timer = clock.startTimer(FETCH_TIMEOUT_MS, () => {
      cancelled.abort(new VError('no table within %d ms', FETCH_TIMEOUT_MS));
    });
    const sentAt = readInstant(clock);
    try {
      const request = { table: table.name, known: this.describeKnown(table) };
      const bytes = await transport.requestTable(stateAddress, request, cancelled.signal);
      this.apply(table, bytes, sentAt);
      this.logFetched(table, stateAddress, bytes.length, sentAt.monotonicMs);
    } finally {
      void timer.dispose();
    }
  }

  private describeKnown({ era, isRetaining: isRetained, version }: FollowedTable<unknown>) {
    return { era, isRetained, version, catalogVersion: this.options.encoder.catalogVersion };
  }

  private apply(
    table: FollowedTable<unknown>,
    bytes: Uint8Array,
    sentAt: ReturnType<typeof readInstant>,
  ): void {
    const { clock, encoder } = this.options;
    const message = fromBinary(FollowedChangesSchema, bytes);
    const decoded = encoder.decode(message);
    if (decoded === undefined) throw new VError('patch is for another version');
    const { after, content } = decoded;
    const asOfMs = clock.getMonotonicTime() - message.ageMs;
    if (after === 0) table.setAll(content, asOfMs);
    else if (!table.apply(after, content, asOfMs)) throw new VError('changes are not complete');
    if (message.proofAgeMs === undefined) return;
    table.recordProof(content, computeEarlierInstant(sentAt, message.proofAgeMs));
  }

  private logFetched(
    { name, version }: FollowedTable<unknown>,
    peer: string,
    bytes: number,
    sentMs: number,
  ): void {
    const { clock, log } = this.options;
    const ms = Math.round(clock.getMonotonicTime() - sentMs);
    log.info('table fetched from peer', { table: name, peer, version, bytes, ms });
  }
}
