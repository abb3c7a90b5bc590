/** Encodes tables for peers that lack more changes than fit into a datagram. */
import { create, toBinary } from '@bufbuild/protobuf';
import { FollowedChangesSchema } from '@parsleymux/schema';
import type { FollowedTable } from './followedTable.js';
import type { TableEncoder } from './tableEncoder.js';
import { encodeAges } from './tableMessages.js';
import type { ITableRequest } from './tableTransport.js';

/** Most encoded copies kept for each table, for peers that know different versions. */
const MAX_ENCODED = 16;

/** A response in two parts, which form one message when they are concatenated. */
export interface ITableResponse {
  /** The same object for all peers that request the same changes. */
  readonly rows: Uint8Array;
  readonly ages: Uint8Array;
}

/** Options of a {@link TableServer}. */
export interface ITableServerOptions {
  readonly tables: readonly FollowedTable<unknown>[];
  readonly encoder: TableEncoder;
}

/** Copies of one state of a table, by what the peer knew. */
interface IEncodedCopies {
  readonly state: string;
  readonly copies: Map<string, Uint8Array>;
}

/**
 * Encodes each change of a table once for all peers that request it.
 *
 * @example
 * const response = new TableServer({ tables, encoder }).encodeTable({ table: 'targets', known: {} });
 */
export class TableServer {
  private readonly encoded = new Map<string, IEncodedCopies>();

  constructor(private readonly options: ITableServerOptions) {}

  /** Encodes what the peer lacks of a table; returns undefined if this node doesn't have the table. */
  encodeTable(request: ITableRequest): ITableResponse | undefined {
    const table = this.options.tables.find(({ name }) => name === request.table);
    if (table?.version === undefined) return undefined;
    const ages = toBinary(FollowedChangesSchema, create(FollowedChangesSchema, encodeAges(table)));
    return { rows: this.encodeRows(table, request), ages };
  }

  private encodeRows(table: FollowedTable<unknown>, { known }: ITableRequest): Uint8Array {
    const copies = this.getCopies(table);
    const key = JSON.stringify([known.era, known.version, known.isRetained, known.catalogVersion]);
    const bytes =
      copies.get(key) ??
      toBinary(FollowedChangesSchema, this.options.encoder.encodeRows(table, known));
    if (copies.size >= MAX_ENCODED) copies.clear();
    copies.set(key, bytes);
    return bytes;
  }

  private getCopies({ era, isRetaining, name, version }: FollowedTable<unknown>) {
    const state = JSON.stringify([era, version, isRetaining]);
    const known = this.encoded.get(name);
    if (known?.state === state) return known.copies;
    const copies = new Map<string, Uint8Array>();
    this.encoded.set(name, { state, copies });
    return copies;
  }
}
