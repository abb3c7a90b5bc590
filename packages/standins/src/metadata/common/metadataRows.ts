/** Rows of a metadata store, with one version counter for all tables and a history of changes. */

/** A row. Without a value, it marks a deleted row. */
export interface IMetadataRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** Base64. */
  readonly value: string | undefined;
  readonly ver: number;
}

/** The version that a row must have; 0: the row must not exist. */
export interface IMetadataCondition {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly ver: number;
}

/** A snapshot of the rows at one version. */
export interface IMetadataCopy {
  readonly rows: ReadonlyMap<string, IMetadataRow>;
  readonly version: number;
}

/** Conditions, writes and deletions that are applied atomically. */
export interface IMetadataTransaction {
  readonly expect_rev: readonly IMetadataCondition[];
  readonly puts: readonly Omit<IMetadataRow, 'ver'>[];
  readonly remove: readonly Omit<IMetadataRow, 'ver' | 'value'>[];
}

/**
 * The state of a metadata store.
 *
 * @example
 * rows.transact({ expect_rev: [], puts: [{ table: 'op', part: '', key: 'config', value }], remove: [] });
 */
export class MetadataRows {
  private rows = new Map<string, IMetadataRow>();
  private history: IMetadataRow[] = [];
  /** Changes up to this version are no longer in the history. */
  private discardedVersion = 0;
  private currentVersion = 0;
  private currentEra = 1;

  /** Store epoch: incremented each time the rows are restored from a copy. */
  get era(): number {
    return this.currentEra;
  }

  get version(): number {
    return this.currentVersion;
  }

  /** Applies a transaction. Returns false, and changes nothing, if a condition does not hold. */
  transact(transaction: IMetadataTransaction): boolean {
    const holds = transaction.expect_rev.every((condition) => {
      return (this.rows.get(formatKey(condition))?.ver ?? 0) === condition.ver;
    });
    if (!holds) return false;
    this.currentVersion += 1;
    for (const put of transaction.puts) this.set({ ...put, ver: this.currentVersion });
    for (const name of transaction.remove) {
      if (!this.rows.has(formatKey(name))) continue;
      this.set({ ...name, value: undefined, ver: this.currentVersion });
    }
    return true;
  }

  /** Returns the rows of a part with keys from `from` on, ordered by key. */
  list(table: string, part: string, from: string): readonly IMetadataRow[] {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /**
   * Returns the changes of a table after a version; undefined when the history no longer has them, or
   * when the version does not exist yet.
   */
  listChanges(table: string, after: number): readonly IMetadataRow[] | undefined {
    if (after < this.discardedVersion || after > this.currentVersion) return undefined;
    return this.history.filter((row) => row.table === table && row.ver > after);
  }

  /** Discards all changes so far. */
  clearHistory(): void {
    this.history = [];
    this.discardedVersion = this.currentVersion;
  }

  /** Returns a snapshot of the current rows. */
  copy(): IMetadataCopy {
    return { rows: new Map(this.rows), version: this.currentVersion };
  }

  /** Restores a snapshot: later writes are lost, and their versions are assigned again. */
  restore({ rows, version }: IMetadataCopy): void {
    this.rows = new Map(rows);
    this.currentVersion = version;
    this.currentEra += 1;
    this.clearHistory();
  }

  private set(row: IMetadataRow): void {
    if (row.value === undefined) this.rows.delete(formatKey(row));
    else this.rows.set(formatKey(row), row);
    this.history.push(row);
  }
}

function formatKey({ table, part, key }: Pick<IMetadataRow, 'table' | 'part' | 'key'>): string {
  return JSON.stringify([table, part, key]);
}
