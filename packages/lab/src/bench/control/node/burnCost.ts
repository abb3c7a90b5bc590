/** Size of the row in which a node stores its counts for the burn report. */
import { ManualClock, ResultCode, SeededRandom } from '@parsleymux/base';
import type { IFleetConfig } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import { BurnRecorder } from '@parsleymux/operators';
import type { ITableRow, ITableTransaction, ITransactionResult } from '@parsleymux/store';
import { TableService } from '@parsleymux/store';
import type { IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';

const SERVICES: readonly number[] = [1, 10, 100, 490, 980];
const FLUSH_S = 60;

class MeasuringTable extends TableService {
  bytes = 0;

  override read(): Promise<readonly ITableRow[]> {
    return Promise.resolve([]);
  }

  override scan(): Promise<readonly ITableRow[]> {
    return Promise.resolve([]);
  }

  override transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    this.bytes += JSON.stringify(transaction).length;
    return Promise.resolve({ committed: true, conflicts: [] });
  }
}

class EmptyConfig extends ConfigService {
  override readonly onDidChange = () => ({ dispose: () => undefined });

  override getCurrent(): IFleetConfig {
    return { fleetRevision: 1, members: new Map() };
  }
}

/**
 * Measures one flush of a node by the number of services it has served since the previous flush.
 *
 * @example
 * tables.push(await measureBurnRows());
 */
export async function measureBurnRows(): Promise<IBenchTable> {
  const rows = [];
  for (const services of SERVICES) {
    const table = new MeasuringTable();
    const clock = new ManualClock({ startMs: 1_700_000_000_000 });
    const random = new SeededRandom(1);
    const recorder = new BurnRecorder({ table, config: new EmptyConfig(), clock, random });
    for (let service = 0; service < services; service += 1) {
      const name = `service-${service}`;
      recorder.record({ member: 'member-12', service: name, code: ResultCode.Ok, durationMs: 5 });
    }
    await recorder.flush();
    rows.push([services, table.bytes, formatNumber(table.bytes / FLUSH_S)]);
  }
  return {
    title: 'One node’s counts for the burn report, stored every minute',
    columns: ['services served', 'bytes a minute', 'bytes/s'],
    rows,
  };
}
