/** Fetches tables from peers. */
import { fromBinary } from '@bufbuild/protobuf';
import type { Clock, IInstant, Logger } from '@parsleymux/base';
import { StallTimeout, computeEarlierInstant, readInstant } from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import VError from 'verror';
import type { FollowedTable } from './followedTable.js';
import type { TableEncoder } from './tableEncoder.js';
import type { IAnnouncedState, TableReply, TableTransport } from './tableTransport.js';

/** A peer that doesn't begin to respond within this time, in ms, is considered unreachable. */
const RESPONSE_TIMEOUT_MS = 300;
/** A transfer without progress for this long, in ms, is abandoned. */
const STALL_TIMEOUT_MS = 500;
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
}

/**
 * Updates a table from the copy of a peer, or of another one if that one doesn't respond.
 *
 * @example
 * await new TableFetcher(options).fetch(directory.catalog, { stateAddress: '10.1.0.4:7201' });
 */
export class TableFetcher {
  constructor(private readonly options: ITableFetcherOptions) {}

  /** Rejects if no peer responds in time. */
  async fetch(table: FollowedTable<unknown>, source: ITableSource): Promise<void> {
    const { listOthers, log } = this.options;
    const others = (listOthers?.() ?? []).filter((address) => address !== source.stateAddress);
    const addresses = [source.stateAddress, ...others];
    let reason: unknown;
    for (const [index, stateAddress] of addresses.entries()) {
      try {
        await this.fetchFrom(table, { ...source, stateAddress, isDirect: index > 0 });
        return;
      } catch (error) {
        reason = error;
        log.warn('table not fetched from peer', {
          table: table.name,
          peer: stateAddress,
          isDirect: index > 0,
          reason: error instanceof Error ? error.message : String(error),
        });
      }
    }
    throw new VError(reason instanceof Error ? reason : {}, 'no peer sent table %s', table.name);
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
        if (redirects === 0) throw error;
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
    const { isDirect, isWhole = false, minimum, stateAddress } = attempt;
    const { era, isRetaining: isRetained, version } = table;
    const { catalogVersion } = encoder;
    const known = isWhole ? { catalogVersion } : { era, isRetained, version, catalogVersion };
    const request = { table: table.name, known, minimum, requester: self, isDirect };
    const stall = new StallTimeout(clock, RESPONSE_TIMEOUT_MS);
    const { signal } = stall;
    const onDidProgress = () => {
      stall.reset(STALL_TIMEOUT_MS);
    };
    try {
      return await transport.requestTable(stateAddress, request, { signal, onDidProgress });
    } finally {
      stall.dispose();
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
