/** Sends tables to peers that lack more changes than fit into a datagram. */
import { create, toBinary } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import type { FollowedTable } from './followedTable.js';
import type { TableEncoder } from './tableEncoder.js';
import { encodeAges } from './tableMessages.js';
import type { IAnnouncedState, ITableRequest } from './tableTransport.js';
import { TransferSpreader } from './transferSpreader.js';

/** Most encoded copies kept for each table, for peers that know different versions. */
const MAX_ENCODED = 16;
/** How long a request is held until this node has received the requested state itself, in ms. */
const MAX_HOLD_MS = 1000;
const HOLD_CHECK_MS = 10;
/** Interval at which a peer is told that its request is held, in ms. */
const HOLD_NOTICE_MS = 150;

/** Encodes a message for the wire, for example with compression. */
export type TableCompressor = (rows: Uint8Array, ages: Uint8Array) => Uint8Array;

/** Result of a request: the response to send, the node to ask instead, or neither. */
export type TableResult =
  | { readonly kind: 'table'; readonly bytes: Uint8Array }
  | { readonly kind: 'redirect'; readonly stateAddress: string }
  | { readonly kind: 'unavailable' };

/** How a request is served. */
export interface IServeOptions {
  readonly signal: AbortSignal;
  readonly compress: TableCompressor;
  /** Called at the start and repeatedly while the request is held. */
  readonly onDidHold: () => void;
}

/** Options of a {@link TableServer}. */
export interface ITableServerOptions {
  readonly clock: Clock;
  readonly tables: readonly FollowedTable<unknown>[];
  readonly encoder: TableEncoder;
  /** Rate of the node's link in bytes per ms. Default: unlimited. */
  readonly bytesPerMs?: number | undefined;
}

/** Copies of one state of a table, by what the peer knew. */
interface IEncodedCopies {
  readonly state: string;
  readonly copies: Map<string, Uint8Array>;
}

/**
 * Answers requests for tables. Each change of a table is encoded once for all peers that request it.
 *
 * @example
 * const result = await new TableServer(options).serve(request, { signal, compress, onDidHold });
 */
export class TableServer {
  private readonly encoded = new Map<string, IEncodedCopies>();
  private readonly spreader: TransferSpreader;

  constructor(private readonly options: ITableServerOptions) {
    const { bytesPerMs = Infinity, clock } = options;
    this.spreader = new TransferSpreader({ clock, bytesPerMs });
  }

  /**
   * Resolves as soon as this node has the requested state, or can't wait for it any longer. Requests that
   * may not be redirected are not held, as their nodes have other sources to try.
   */
  async serve(request: ITableRequest, options: IServeOptions): Promise<TableResult> {
    const { compress } = options;
    const table = this.options.tables.find(({ name }) => name === request.table);
    if (table === undefined || !(await this.waitForState(table, request, options))) {
      return { kind: 'unavailable' };
    }
    const ages = toBinary(FollowedChangesSchema, create(FollowedChangesSchema, encodeAges(table)));
    const bytes = compress(this.encodeRows(table, request), ages);
    const sent = { table: table.name, state: formatState(table) };
    const { isDirect = false, requester } = request;
    const other =
      isDirect || requester === undefined
        ? undefined
        : this.spreader.findOther(sent, requester, bytes.length);
    if (other !== undefined) return { kind: 'redirect', stateAddress: other };
    this.spreader.recordTransfer(sent, requester, bytes.length);
    return { kind: 'table', bytes };
  }

  private async waitForState(
    table: FollowedTable<unknown>,
    { isDirect = false, minimum }: ITableRequest,
    { onDidHold, signal }: IServeOptions,
  ): Promise<boolean> {
    if (minimum === undefined || isDirect) return hasState(table, minimum);
    const { clock } = this.options;
    const startMs = clock.getMonotonicTime();
    let noticeMs = -Infinity;
    while (!hasState(table, minimum)) {
      const nowMs = clock.getMonotonicTime();
      if (signal.aborted || nowMs - startMs >= MAX_HOLD_MS) return false;
      if (nowMs - noticeMs >= HOLD_NOTICE_MS) {
        noticeMs = nowMs;
        onDidHold();
      }
      await clock.sleep(HOLD_CHECK_MS, signal).catch(() => undefined);
    }
    return true;
  }

  private encodeRows(table: FollowedTable<unknown>, { known }: ITableRequest): Uint8Array {
    const copies = this.getCopies(table);
    const { catalogVersion, era, isRetained, version } = known;
    const key = JSON.stringify([era, version, isRetained, catalogVersion]);
    const found = copies.get(key);
    if (found !== undefined) return found;
    const bytes = toBinary(FollowedChangesSchema, this.options.encoder.encodeRows(table, known));
    if (copies.size >= MAX_ENCODED) copies.clear();
    copies.set(key, bytes);
    return bytes;
  }

  private getCopies(table: FollowedTable<unknown>): Map<string, Uint8Array> {
    const state = formatState(table);
    const known = this.encoded.get(table.name);
    if (known?.state === state) return known.copies;
    const copies = new Map<string, Uint8Array>();
    this.encoded.set(table.name, { state, copies });
    return copies;
  }
}

/** Whether a table is at least as new as a state that was announced. */
export function hasState(
  { era, version }: FollowedTable<unknown>,
  minimum: IAnnouncedState | undefined,
): boolean {
  if (version === undefined) return false;
  if (minimum === undefined || era > minimum.era) return true;
  return era === minimum.era && version >= minimum.version;
}

function formatState({ era, isRetaining, version }: FollowedTable<unknown>): string {
  return JSON.stringify([era, version, isRetaining]);
}
