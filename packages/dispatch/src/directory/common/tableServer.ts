/** Encodes whole tables for peers that lack more changes than fit into a datagram. */
import { create, toBinary } from '@bufbuild/protobuf';
import { FollowedChangesSchema } from '@parsleymux/schema';
import type { FollowedTable } from './followedTable.js';
import { encodeAges, encodeChanges } from './tableMessages.js';

interface IEncodedTable {
  readonly era: number;
  readonly isRetained: boolean;
  readonly version: number;
  readonly bytes: Uint8Array;
}

/**
 * Encodes the rows of a table once for all peers that request the same version.
 *
 * @example
 * const bytes = new TableServer(directory.listTables()).encodeTable('targets');
 */
export class TableServer {
  private readonly encoded = new Map<string, IEncodedTable>();

  constructor(private readonly tables: readonly FollowedTable<unknown>[]) {}

  /** Encodes a table and its current age; returns undefined if this node doesn't have the table. */
  encodeTable(name: string | undefined): Uint8Array | undefined {
    const table = this.tables.find((candidate) => candidate.name === name);
    if (table?.version === undefined) return undefined;
    const age = toBinary(FollowedChangesSchema, create(FollowedChangesSchema, encodeAges(table)));
    // Concatenated protobuf messages are parsed as one message with the fields of both.
    return Buffer.concat([this.encodeRows(table), age]);
  }

  private encodeRows(table: FollowedTable<unknown>): Uint8Array {
    const version = table.version ?? 0;
    const { era, isRetaining: isRetained } = table;
    const known = this.encoded.get(table.name);
    const isSame = known?.era === era && known.isRetained === isRetained;
    if (isSame && known.version === version) return known.bytes;
    const changes = table
      .listEntries()
      .map(([key, value]) => ({ key, value, isMissing: table.isMissing(key) }));
    const message = encodeChanges(table.name, 0, { era, isRetained, version, changes });
    const bytes = toBinary(FollowedChangesSchema, message);
    this.encoded.set(table.name, { era, isRetained, version, bytes });
    return bytes;
  }
}
