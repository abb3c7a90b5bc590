/** Rows of a metadata store: one counter of versions over all tables, and a history of changes. */

/** A row, or with no value the mark of a dropped one. */
export interface IMetadataRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** Base64. */
  readonly value: string | undefined;
  readonly ver: number;
}

/** Names a row, with the version that it must have; 0: it must not exist. */
export interface IMetadataCondition {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly ver: number;
}

/** The rows as they were at one version. */
export interface IMetadataCopy {
  readonly rows: ReadonlyMap<string, IMetadataRow>;
  readonly version: number;
}

/** One transaction. */
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
  /** Changes up to this version are forgotten. */
  private discardedVersion = 0;
  private currentVersion = 0;
  private currentEra = 1;

  /** Rises each time that the rows come back from a copy. */
  get era(): number {
    return this.currentEra;
  }

  get version(): number {
    return this.currentVersion;
  }

  /** False when a condition does not hold; nothing was done then. */
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

  /** Rows of a part in the order of their keys, beginning with `from`. */
  list(table: string, part: string, from: string): readonly IMetadataRow[] {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Changes of a table after a version; undefined when they are forgotten, or the version isn't there yet. */
  listChanges(table: string, after: number): readonly IMetadataRow[] | undefined {
    if (after < this.discardedVersion || after > this.currentVersion) return undefined;
    return this.history.filter((row) => row.table === table && row.ver > after);
  }

  /** Forgets all changes until now. */
  clearHistory(): void {
    this.history = [];
    this.discardedVersion = this.currentVersion;
  }

  /** A copy of the rows as they are now. */
  copy(): IMetadataCopy {
    return { rows: new Map(this.rows), version: this.currentVersion };
  }

  /** Comes back from a copy: what was written since is gone, and its versions are given out again. */
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
