/** A table in memory whose answers can be lost and whose writes can be late. For tests. */
import type { Clock } from '@parsleymux/base';
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { ObjectStore, PlatformError, PlatformFailure, TableService } from '@parsleymux/store';

/** What happens to one call. */
export const TableFault = {
  None: 'none',
  /** Refused; nothing done. */
  Refuse: 'refuse',
  /** Lost on the way there; the caller can't know. */
  LoseRequest: 'lose-request',
  /** Done, and the answer lost. */
  LoseResponse: 'lose-answer',
  /** The caller is told nothing; the write lands `lateMs` after. */
  CommitLate: 'land-late',
} as const;

export type TableFault = (typeof TableFault)[keyof typeof TableFault];

const MAX_SCAN_ROWS = 1000;

/** Options of a {@link FakeTable}. */
export interface IFakeTableOptions {
  readonly clock: Clock;
  /** Time that each call takes, in ms. Default 1. */
  readonly latencyMs?: number;
}

/** Rows with versions, as the platform keeps them. */
export class FakeTable extends TableService {
  /** Chooses the fault of each call. */
  chooseFault: () => TableFault = () => TableFault.None;
  /** Transactions that reached the table, and rows that they wrote. */
  transactions = 0;
  rowsWritten = 0;
  /** Delay of writes that land late, in ms. */
  lateCommitMs = 50;
  private readonly lastVersions = new Map<string, number>();
  private readonly rows = new Map<string, ITableRow>();
  private readonly clock: Clock;
  private readonly latencyMs: number;

  constructor(options: IFakeTableOptions) {
    super();
    this.clock = options.clock;
    this.latencyMs = options.latencyMs ?? 1;
  }

  override async read(keys: readonly string[]): Promise<readonly ITableRow[]> {
    await this.checkReadFault();
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  override async scan(options: IScanOptions): Promise<readonly ITableRow[]> {
    await this.checkReadFault();
    return [...this.rows.values()]
      .filter(({ key }) => key.startsWith(options.prefix) && key > (options.after ?? ''))
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, options.limit ?? MAX_SCAN_ROWS);
  }

  override async transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    const fault = this.chooseFault();
    await this.clock.sleep(this.latencyMs);
    switch (fault) {
      case TableFault.None:
        return this.applyTransaction(transaction);
      case TableFault.Refuse:
        throw new PlatformError(PlatformFailure.Refused, 'refused');
      case TableFault.LoseResponse:
        this.applyTransaction(transaction);
        break;
      case TableFault.CommitLate:
        this.clock.startTimer(this.lateCommitMs, () => this.applyTransaction(transaction));
        break;
      case TableFault.LoseRequest:
        break;
    }
    throw new PlatformError(PlatformFailure.Unknown, 'answer lost');
  }

  private async checkReadFault(): Promise<void> {
    const fault = this.chooseFault();
    await this.clock.sleep(this.latencyMs);
    if (fault === TableFault.None) return;
    throw new PlatformError(PlatformFailure.Unknown, 'answer lost');
  }

  private applyTransaction(transaction: ITableTransaction): ITransactionResult {
    this.transactions += 1;
    const failed = transaction.conditions.filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      return { committed: false, conflicts: failed.flatMap(({ key }) => this.rows.get(key) ?? []) };
    }
    for (const { key, value } of transaction.writes) {
      const version = (this.lastVersions.get(key) ?? 0) + 1;
      this.rowsWritten += 1;
      this.lastVersions.set(key, version);
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, value, version });
    }
    return { committed: true, conflicts: [] };
  }
}

/** Objects in memory. */
export class FakeObjectStore extends ObjectStore {
  readonly bytes = new Map<string, Uint8Array>();

  override get(key: string): Promise<Uint8Array | undefined> {
    return Promise.resolve(this.bytes.get(key));
  }

  override put(key: string, bytes: Uint8Array): Promise<void> {
    this.bytes.set(key, bytes);
    return Promise.resolve();
  }

  override list(prefix: string): Promise<readonly string[]> {
    return Promise.resolve([...this.bytes.keys()].filter((key) => key.startsWith(prefix)).sort());
  }
}
