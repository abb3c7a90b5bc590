/** Encodes tables for peers, and decodes what peers sent. */
import { create } from '@bufbuild/protobuf';
import type { FollowedChanges } from '@parsleymux/schema';
import { FollowedChangesSchema } from '@parsleymux/schema';
import type { ITableChanges } from './authority.js';
import type { CatalogHistory } from './catalogHistory.js';
import type { FollowedTable } from './followedTable.js';
import type { IDecodedChanges } from './tableMessages.js';
import { decodeChanges, encodeAges, encodeChanges } from './tableMessages.js';

/** What a peer has of a table. */
export interface IKnownCopy {
  readonly era?: number | undefined;
  readonly version?: number | undefined;
  readonly isRetained?: boolean | undefined;
  /** Version of the configuration that the peer has in force; undefined if it can't apply patches. */
  readonly catalogVersion?: number | undefined;
}

/** Options of a {@link TableEncoder}. */
export interface ITableEncoderOptions {
  readonly history: CatalogHistory;
  /** Name of the table that holds the configuration. */
  readonly catalogTable: string;
}

/**
 * Replaces the configuration by a patch for peers that have an earlier version of it.
 *
 * @example
 * const message = encoder.encodeRecent(table, { era, version, catalogVersion });
 */
export class TableEncoder {
  constructor(private readonly options: ITableEncoderOptions) {}

  /** Name of the table that holds the configuration. */
  get catalogTable(): string {
    return this.options.catalogTable;
  }

  /** Version of the configuration that this node has in force; 0 if none. */
  get catalogVersion(): number {
    return this.options.history.version;
  }

  /** Encodes the recent changes after the peer's version, or all that are kept if it is unknown. */
  encodeRecent(table: FollowedTable<unknown>, known: IKnownCopy): FollowedChanges {
    // A version of another epoch isn't comparable, so it doesn't limit the changes to send.
    const { after, content } = table.listRecent(
      known.era === table.era ? known.version : undefined,
    );
    const message = this.encode(table, after, content, known);
    return create(FollowedChangesSchema, { ...message, ...encodeAges(table) });
  }

  /** Encodes all rows, or the changes after the peer's version if they are still known. */
  encodeRows(table: FollowedTable<unknown>, known: IKnownCopy): FollowedChanges {
    const { era, isRetaining: isRetained, version = 0 } = table;
    const { version: knownVersion } = known;
    const isComparable = known.era === era && known.isRetained === isRetained;
    if (isComparable && knownVersion !== undefined && knownVersion > 0) {
      const { after, content } = table.listRecent(knownVersion);
      if (after === knownVersion) return this.encode(table, after, content, known);
    }
    const changes = table
      .listEntries()
      .map(([key, value]) => ({ key, value, isMissing: table.isMissing(key) }));
    return this.encode(table, 0, { era, isRetained, version, changes }, known);
  }

  /** Decodes a message; returns undefined if it has a patch for a version that this node doesn't have. */
  decode(message: FollowedChanges): IDecodedChanges | undefined {
    return decodeChanges(message, (patch) => this.options.history.applyPatch(patch));
  }

  private encode(
    table: FollowedTable<unknown>,
    after: number,
    content: ITableChanges<unknown>,
    { catalogVersion }: IKnownCopy,
  ): FollowedChanges {
    const { catalogTable, history } = this.options;
    const isPatchable = table.name === catalogTable && content.changes.length > 0;
    if (!isPatchable || catalogVersion === undefined) {
      return encodeChanges(table.name, after, content);
    }
    return encodeChanges(table.name, after, content, history.encodePatch(catalogVersion));
  }
}
