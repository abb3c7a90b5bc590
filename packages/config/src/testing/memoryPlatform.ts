/** In-memory table and object store for tests that simulate outages, stale reads and lost responses. */
import type { RandomSource } from '@parsleymux/base';
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { ObjectStore, PlatformError, PlatformFailure, TableService } from '@parsleymux/store';

/** Simulated faults of the store; shares are in [0, 1]. */
export interface IStoreFaults {
  /** Every call fails. */
  isUnavailable: boolean;
  /** Share of transactions whose response is lost, before or after they take effect. */
  lostResponseShare: number;
  /** Maximum number of transactions by which a read lags behind. */
  staleness: number;
}

/** An in-memory table. Every call yields a few times, so that concurrent callers interleave. */
export class MemoryTable extends TableService {
  readonly faults: IStoreFaults = { isUnavailable: false, lostResponseShare: 0, staleness: 0 };
  private readonly history: ReadonlyMap<string, ITableRow>[] = [new Map()];
  readCount = 0;
  /** Called with all rows after each committed transaction. */
  onDidCommit: ((rows: ReadonlyMap<string, ITableRow>) => void) | undefined;
  transactionCount = 0;

  constructor(private readonly random: RandomSource) {
    super();
  }

  override async read(keys: readonly string[]): Promise<readonly ITableRow[]> {
    await this.sleepOrFail();
    this.readCount += 1;
    const rows = this.getVisible();
    return [...new Set(keys)].flatMap((key) => rows.get(key) ?? []);
  }

  override async scan(options: IScanOptions): Promise<readonly ITableRow[]> {
    await this.sleepOrFail();
    this.readCount += 1;
    const after = options.after ?? '';
    return [...this.getVisible().values()]
      .filter((row) => row.key.startsWith(options.prefix) && row.key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, options.limit ?? 1000);
  }

  override async transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    await this.sleepOrFail();
    this.transactionCount += 1;
    const isLost = this.random.getFloat() < this.faults.lostResponseShare;
    if (isLost && this.random.getFloat() < 0.5) throw createLostResponseError();
    const result = this.commit(transaction);
    await this.sleepTurns();
    if (isLost) throw createLostResponseError();
    return result;
  }

  /** Returns the current rows, without staleness. */
  getRows(): ReadonlyMap<string, ITableRow> {
    return this.history.at(-1) ?? new Map<string, ITableRow>();
  }

  private commit(transaction: ITableTransaction): ITransactionResult {
    const rows = new Map(this.getRows());
    const failed = transaction.conditions.filter((condition) => {
      return (rows.get(condition.key)?.version ?? 0) !== condition.version;
    });
    const conflicts = failed.flatMap((condition) => rows.get(condition.key) ?? []);
    if (failed.length > 0) return { committed: false, conflicts };
    for (const { key, value } of transaction.writes) {
      const version = (rows.get(key)?.version ?? 0) + 1;
      if (value === null) rows.delete(key);
      else rows.set(key, { key, value, version });
    }
    this.history.push(rows);
    this.onDidCommit?.(rows);
    if (this.history.length > 50) this.history.shift();
    return { committed: true, conflicts: [] };
  }

  private getVisible(): ReadonlyMap<string, ITableRow> {
    const age = this.random.getInteger(this.faults.staleness + 1);
    return this.history.at(-1 - age) ?? this.history[0] ?? new Map<string, ITableRow>();
  }

  private async sleepOrFail(): Promise<void> {
    await this.sleepTurns();
    if (this.faults.isUnavailable) throw new PlatformError(PlatformFailure.Refused, 'unavailable');
  }

  private async sleepTurns(): Promise<void> {
    for (let turn = this.random.getInteger(4); turn > 0; turn -= 1) await Promise.resolve();
  }
}

/** An in-memory object store, which is unavailable whenever the table is. */
export class MemoryObjects extends ObjectStore {
  private readonly objects = new Map<string, Uint8Array>();

  constructor(private readonly faults: IStoreFaults) {
    super();
  }

  override async get(key: string): Promise<Uint8Array | undefined> {
    await this.checkAvailable();
    return this.objects.get(key);
  }

  override async put(key: string, bytes: Uint8Array): Promise<void> {
    await this.checkAvailable();
    this.objects.set(key, bytes);
  }

  override async list(prefix: string): Promise<readonly string[]> {
    await this.checkAvailable();
    return [...this.objects.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** Removes an object, to simulate its loss. */
  remove(key: string): void {
    this.objects.delete(key);
  }

  private async checkAvailable(): Promise<void> {
    await Promise.resolve();
    if (this.faults.isUnavailable) throw new PlatformError(PlatformFailure.Refused, 'unavailable');
  }
}

/** The in-memory table and object store. */
export interface IMemoryPlatform {
  readonly table: MemoryTable;
  readonly objects: MemoryObjects;
}

/**
 * Creates an empty in-memory table and object store with configurable faults.
 *
 * @example
 * const platform = createMemoryPlatform(new SeededRandom(1));
 * platform.table.faults.isUnavailable = true;
 */
export function createMemoryPlatform(random: RandomSource): IMemoryPlatform {
  const table = new MemoryTable(random);
  return { table, objects: new MemoryObjects(table.faults) };
}

function createLostResponseError(): PlatformError {
  return new PlatformError(PlatformFailure.Unknown, 'no response');
}
