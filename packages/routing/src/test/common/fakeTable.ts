/** An in-memory table for tests, with outages and lost responses. */
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { PlatformError, PlatformFailure, TableService } from '@parsleymux/store';

/** Executes transactions in memory. */
export class FakeTable extends TableService {
  readonly rows = new Map<string, ITableRow>();
  isDown = false;
  /** Number of transactions whose response is still to be lost after they took effect. */
  lostResponses = 0;
  /** Runs before each transaction, to simulate a concurrent change. */
  beforeTransact: (() => void) | undefined;

  override async read(keys: readonly string[]): Promise<readonly ITableRow[]> {
    await this.ensureUp();
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  override async scan(options: IScanOptions): Promise<readonly ITableRow[]> {
    await this.ensureUp();
    return [...this.rows.values()].filter((row) => row.key.startsWith(options.prefix));
  }

  override async transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    await this.ensureUp();
    this.beforeTransact?.();
    const failed = transaction.conditions.filter(({ key, version }) => {
      return (this.rows.get(key)?.version ?? 0) !== version;
    });
    const conflicts = failed.flatMap(({ key }) => this.rows.get(key) ?? []);
    if (failed.length > 0) return { committed: false, conflicts };
    for (const { key, value } of transaction.writes) this.write(key, value);
    if (this.lostResponses > 0) {
      this.lostResponses -= 1;
      throw new PlatformError(PlatformFailure.Unknown, 'response lost');
    }
    return { committed: true, conflicts: [] };
  }

  /** Writes a row without conditions. */
  write(key: string, value: string | null): void {
    const version = (this.rows.get(key)?.version ?? 0) + 1;
    if (value === null) this.rows.delete(key);
    else this.rows.set(key, { key, value, version });
  }

  private async ensureUp(): Promise<void> {
    await Promise.resolve();
    if (this.isDown) throw new PlatformError(PlatformFailure.Unknown, 'table is down');
  }
}
