/** The platform's table on simulated time. */
import type { Clock } from '@parsleymux/base';
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { TableService } from '@parsleymux/store';
import { VersionedTable } from '@parsleymux/standins';

const ROUND_TRIP_MS = 10;

/** In-memory table that delays each call by a round trip. */
export class SimulatedTable extends TableService {
  private readonly table = new VersionedTable();

  constructor(private readonly clock: Clock) {
    super();
  }

  override async read(keys: readonly string[]): Promise<readonly ITableRow[]> {
    await this.clock.sleep(ROUND_TRIP_MS);
    return this.table.read(keys, this.clock.getMonotonicTime());
  }

  override async scan(options: IScanOptions): Promise<readonly ITableRow[]> {
    await this.clock.sleep(ROUND_TRIP_MS);
    return this.table.scan(options, this.clock.getMonotonicTime());
  }

  override async transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    await this.clock.sleep(ROUND_TRIP_MS);
    return this.table.transact(transaction, this.clock.getMonotonicTime());
  }
}
