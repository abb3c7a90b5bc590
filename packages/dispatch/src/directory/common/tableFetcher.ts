/** Fetches whole tables from peers. */
import { fromBinary } from '@bufbuild/protobuf';
import type { Clock, Logger } from '@parsleymux/base';
import { computeEarlierInstant, readInstant } from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import VError from 'verror';
import type { FollowedTable } from './followedTable.js';
import { decodeChanges } from './tableMessages.js';
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
  readonly transport: TableTransport;
}

/**
 * Replaces the content of a table by the copy of a peer.
 *
 * @example
 * await new TableFetcher({ clock, log, transport }).fetch(directory.catalog, '10.1.0.4:7201');
 */
export class TableFetcher {
  constructor(private readonly options: ITableFetcherOptions) {}

  /** Rejects if the peer doesn't respond in time. */
  async fetch(table: FollowedTable<unknown>, stateAddress: string): Promise<void> {
    const { clock, log, transport } = this.options;
    const sentAt = readInstant(clock);
    const cancelled = new AbortController();
    const timer = clock.startTimer(FETCH_TIMEOUT_MS, () => {
      cancelled.abort(new VError('no table within %d ms', FETCH_TIMEOUT_MS));
    });
    try {
      const bytes = await transport.requestTable(stateAddress, table.name, cancelled.signal);
      const message = fromBinary(FollowedChangesSchema, bytes);
      const { content } = decodeChanges(message);
      table.setAll(content, clock.getMonotonicTime() - message.ageMs);
      log.info('table fetched from peer', {
        table: table.name,
        peer: stateAddress,
        version: content.version,
        bytes: bytes.length,
        ms: Math.round(clock.getMonotonicTime() - sentAt.monotonicMs),
        ageMs: message.ageMs,
      });
      if (message.proofAgeMs === undefined) return;
      table.recordProof(content, computeEarlierInstant(sentAt, message.proofAgeMs));
    } finally {
      void timer.dispose();
    }
  }
}
