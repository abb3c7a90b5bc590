/** Persistent storage of quarantine decisions; each deployment provides its own implementation. */
import type { ICrashHistoryRecord } from '@parsleymux/scheduling';

/**
 * Stores the crash histories of quarantined requests, so that they survive a restart of the whole fleet.
 * Every call rejects with a StoreCallError if the store gives no usable response.
 */
export abstract class QuarantineStore {
  /** Reads the records of all requests that were quarantined at the last write. */
  abstract readAll(signal: AbortSignal): Promise<readonly ICrashHistoryRecord[]>;

  /** Inserts or replaces the record of a request. */
  abstract put(record: ICrashHistoryRecord, signal: AbortSignal): Promise<void>;

  /** Removes the record of a request; has no effect if there is none. */
  abstract remove(fingerprint: string, signal: AbortSignal): Promise<void>;
}
