/** Fetches tables from peers. */
import { fromBinary } from '@bufbuild/protobuf';
import type { Clock, IInstant, IStaggeredAttempt, Logger } from '@parsleymux/base';
import {
  JoinedSignal,
  ResponseTimes,
  StallTimeout,
  computeEarlierInstant,
  readInstant,
  startStaggered,
} from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import VError from 'verror';
import type { FollowedTable } from './followedTable.js';
import type { TableEncoder } from './tableEncoder.js';
import type { IAnnouncedState, TableReply, TableTransport } from './tableTransport.js';

/**
 * A peer that makes no progress for this time, in ms, is joined by the next one, unless peers have been slower
 * lately.
 */
const MIN_RESPONSE_MS = 300;
/** The longest such time, in ms. */
const MAX_RESPONSE_MS = 1200;
/** A transfer without progress for this long, in ms, is given up. */
const STALL_TIMEOUT_MS = 3000;
const MAX_REDIRECTS = 8;

/** Where to fetch a table from. */
export interface ITableSource {
  /** State address of the node that announced the state. */
  readonly stateAddress: string;
  readonly minimum?: IAnnouncedState | undefined;
  /** Whether to fetch all rows, also if the source has an older state than this node. Default: false. */
  readonly isWhole?: boolean | undefined;
}

/** Options of a {@link TableFetcher}. */
export interface ITableFetcherOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly encoder: TableEncoder;
  readonly transport: TableTransport;
  /** State address of this node. */
  readonly self: string;
  /** Lists state addresses of other nodes that probably have the newest tables. Default: none. */
  readonly listOthers?: () => readonly string[];
}

/** One attempt to fetch a table. */
interface IAttempt extends ITableSource {
  readonly isDirect: boolean;
  /** Aborts when another peer has sent the table. */
  readonly signal: AbortSignal;
  readonly recordProgress: () => void;
}

/**
 * Updates a table from the copy of a peer, or of another one if that one doesn't respond. A slow peer is not given up:
 * its response may be the first all the same, and those of the others as slow.
 *
 * @example
 * await new TableFetcher(options).fetch(directory.catalog, { stateAddress: '10.1.0.4:7201' });
 */
export class TableFetcher {
  private readonly times = new ResponseTimes(MAX_RESPONSE_MS);

  constructor(private readonly options: ITableFetcherOptions) {}

  /** Rejects if no peer responds in time. */
  async fetch(table: FollowedTable<unknown>, source: ITableSource): Promise<void> {
    const { clock, listOthers } = this.options;
    const others = (listOthers?.() ?? []).filter((address) => address !== source.stateAddress);
    const addresses = [source.stateAddress, ...others];
    const alternatives = addresses.map((stateAddress, index) => (attempt: IStaggeredAttempt) => {
      return this.fetchFrom(table, { ...source, ...attempt, stateAddress, isDirect: index > 0 });
    });
    try {
      await startStaggered(alternatives, {
        clock,
        getLimitMs: () => this.times.getLimitMs(MIN_RESPONSE_MS),
        onDidFail: (index, error) => {
          this.logFailed(table, addresses[index] ?? '', index > 0, error);
        },
      });
    } catch (reason) {
      throw new VError(reason instanceof Error ? reason : {}, 'no peer sent table %s', table.name);
    }
  }

  /** Follows redirects; if a node to which the request was redirected fails, the first one has to send. */
  private async fetchFrom(table: FollowedTable<unknown>, attempt: IAttempt): Promise<void> {
    let { stateAddress } = attempt;
    for (let redirects = 0; redirects <= MAX_REDIRECTS; redirects += 1) {
      try {
        const next = await this.fetchOnce(table, { ...attempt, stateAddress });
        if (next === undefined) return;
        stateAddress = next;
      } catch (error) {
        if (redirects === 0 || attempt.signal.aborted) throw error;
        break;
      }
    }
    await this.fetchOnce(table, { ...attempt, isDirect: true });
  }

  /** Returns the state address of the node to ask instead; undefined if the table was applied. */
  private async fetchOnce(
    table: FollowedTable<unknown>,
    attempt: IAttempt,
  ): Promise<string | undefined> {
    const sentAt = readInstant(this.options.clock);
    const reply = await this.request(table, attempt);
    if (reply.kind === 'redirect') return reply.stateAddress;
    this.apply(table, reply.bytes, sentAt);
    this.logFetched(table, attempt.stateAddress, reply.bytes.length, sentAt);
    return undefined;
  }

  private async request(table: FollowedTable<unknown>, attempt: IAttempt): Promise<TableReply> {
    const { clock, encoder, self, transport } = this.options;
    const { isDirect, isWhole = false, minimum, recordProgress, stateAddress } = attempt;
    const { era, isRetaining: isRetained, version } = table;
    const { catalogVersion } = encoder;
    const known = isWhole ? { catalogVersion } : { era, isRetained, version, catalogVersion };
    const request = { table: table.name, known, minimum, requester: self, isDirect };
    const startMs = clock.getMonotonicTime();
    const stall = new StallTimeout(clock, STALL_TIMEOUT_MS);
    const joined = new JoinedSignal([stall.signal, attempt.signal]);
    let hasBegun = false;
    const onDidProgress = () => {
      if (!hasBegun) this.times.recordResponse(clock.getMonotonicTime() - startMs);
      hasBegun = true;
      stall.reset(STALL_TIMEOUT_MS);
      recordProgress();
    };
    try {
      const { signal } = joined;
      return await transport.requestTable(stateAddress, request, { signal, onDidProgress });
    } finally {
      stall.dispose();
      joined.dispose();
    }
  }

  private apply(table: FollowedTable<unknown>, bytes: Uint8Array, sentAt: IInstant): void {
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

  private logFailed(
    { name: table }: FollowedTable<unknown>,
    peer: string,
    isDirect: boolean,
    error: unknown,
  ): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.log.warn('table not fetched from peer', { table, peer, isDirect, reason });
  }

  private logFetched(
    { name, version }: FollowedTable<unknown>,
    peer: string,
    bytes: number,
    sentAt: IInstant,
  ): void {
    const { clock, log } = this.options;
    const ms = Math.round(clock.getMonotonicTime() - sentAt.monotonicMs);
    log.info('table fetched from peer', { table: name, peer, version, bytes, ms });
  }
}
