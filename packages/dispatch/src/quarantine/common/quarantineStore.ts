/** Where verdicts on requests outlive the fleet: varies with the deployment. */
import type { ICrashHistoryRecord } from './crashHistory.js';

/** Every call rejects with a StoreCallError without an answer. */
export abstract class QuarantineStore {
  /** All requests that were held back when somebody wrote last. */
  abstract readAll(signal: AbortSignal): Promise<readonly ICrashHistoryRecord[]>;

  /** Keeps a case, or its newer state. */
  abstract put(record: ICrashHistoryRecord, signal: AbortSignal): Promise<void>;

  /** Forgets a case; harmless when there is none. */
  abstract remove(fingerprint: string, signal: AbortSignal): Promise<void>;
}
