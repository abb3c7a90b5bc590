/** Store of an experiment that keeps quarantine decisions while all nodes are down. */
import type { Clock } from '@parsleymux/base';
import type { ICrashHistoryRecord } from '@parsleymux/scheduling';
import { QuarantineStore } from '@parsleymux/dispatch';

/** Duration of each call, in ms. */
const CALL_MS = 5;

/** Quarantine store in memory that is always available. */
export class ModelledQuarantineStore extends QuarantineStore {
  private readonly rows = new Map<string, ICrashHistoryRecord>();

  constructor(private readonly clock: Clock) {
    super();
  }

  override async readAll(): Promise<readonly ICrashHistoryRecord[]> {
    await this.clock.sleep(CALL_MS);
    return [...this.rows.values()];
  }

  override async put(record: ICrashHistoryRecord): Promise<void> {
    await this.clock.sleep(CALL_MS);
    this.rows.set(record.fingerprint, record);
  }

  override async remove(fingerprint: string): Promise<void> {
    await this.clock.sleep(CALL_MS);
    this.rows.delete(fingerprint);
  }
}
