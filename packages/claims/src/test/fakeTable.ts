/** In-memory table for tests whose responses can be lost and whose writes can be delayed. */
import type { Clock } from '@parsleymux/base';
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { ObjectStore, PlatformError, PlatformFailure, TableService } from '@parsleymux/store';

/** Fault of one call. */
export const TableFault = {
  None: 'none',
  /** The call is refused and has no effect. */
  Refuse: 'refuse',
  /** The request is lost; the outcome is unknown to the caller. */
  LoseRequest: 'lose-request',
  /** The call takes effect, and its response is lost. */
  LoseResponse: 'lose-response',
  /** The response is lost, and the write is committed `lateCommitMs` later. */
  CommitLate: 'commit-late',
} as const;

export type TableFault = (typeof TableFault)[keyof typeof TableFault];

const MAX_SCAN_ROWS = 1000;

/** Options of a {@link FakeTable}. */
export interface IFakeTableOptions {
  readonly clock: Clock;
  /** Latency of each call, in ms. Default 1. */
  readonly latencyMs?: number;
}

/** Versioned rows, as in the platform's table. */
export class FakeTable extends TableService {
  /** Chooses the fault of each call. */
  chooseFault: () => TableFault = () => TableFault.None;
  /** Number of transactions that reached the table. */
  transactions = 0;
  /** Number of rows that were written. */
  rowsWritten = 0;
  /** Delay of a late commit, in ms. */
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
    throw new PlatformError(PlatformFailure.Unknown, 'response lost');
  }

  private async checkReadFault(): Promise<void> {
    const fault = this.chooseFault();
    await this.clock.sleep(this.latencyMs);
    if (fault === TableFault.None) return;
    throw new PlatformError(PlatformFailure.Unknown, 'response lost');
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

/** In-memory object store. */
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
