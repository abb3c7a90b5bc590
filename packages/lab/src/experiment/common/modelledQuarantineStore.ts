/** The store of an experiment: keeps verdicts on requests when all nodes lose power. */
import type { Clock } from '@parsleymux/base';
import type { ICrashHistoryRecord } from '@parsleymux/dispatch';
import { QuarantineStore } from '@parsleymux/dispatch';

/** From a call to its answer, in ms. */
const CALL_MS = 5;

/** Answers every call. */
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
