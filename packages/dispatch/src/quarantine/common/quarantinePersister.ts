/** Persists quarantine decisions, and restores them when the whole fleet restarts. */
import type { Clock, Event, IDisposable, Logger } from '@parsleymux/base';
import { StoreCallError } from '../../directory/common/authority.js';
import type { QuarantineStore } from './quarantineStore.js';
import type { ICrashHistoryRecord, RequestQuarantine } from '@parsleymux/scheduling';
import type { QuarantineSharing } from './quarantineSharing.js';

/** How often a node that has just started checks whether it reads for its failure domain, in ms. */
const READER_CHECK_INTERVAL_MS = 250;
/** How long after its start a node may still read, in ms; by then it has received the records from peers. */
const READ_WINDOW_MS = 20_000;
/** Delay after a failed call, in ms; no caller waits for these calls. */
const RETRY_DELAY_MS = 1000;
/** Most decisions that wait to be written; beyond it, the oldest is dropped. */
const MAX_PENDING_WRITES = 256;

/** Options of a {@link QuarantinePersister}. */
export interface IQuarantinePersisterOptions {
  readonly quarantine: RequestQuarantine;
  /** Receives the stored records and sends them to the other nodes. */
  readonly sharing: QuarantineSharing;
  readonly store: QuarantineStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether this node accesses the store for its failure domain and shares what it reads. */
  readonly isReader: () => boolean;
  /** Whether the whole fleet starts for the first time, so that no request was ever quarantined. */
  readonly isFirstStart: boolean;
  /** Fires when the store was restored from an older copy. Default: never. */
  readonly onDidRestore?: Event<unknown>;
}

/**
 * Writes quarantine decisions to the store. Without it, the decisions would be lost if all nodes lose power
 * at the same time, and the same request would crash as many targets again. Decisions are rare, so each one
 * is written. Calls to the store are
 * billed, so only the node that follows the store for a failure domain reads them, once.
 *
 * @example
 * persister.start();
 */
export class QuarantinePersister implements IDisposable {
  private readonly decisionListener: IDisposable;
  private readonly expiryListener: IDisposable;
  private readonly restoreListener: IDisposable | undefined;
  private readonly pending = new Map<string, ICrashHistoryRecord>();
  private readonly background = new AbortController();
  private timer: IDisposable | undefined;
  private isCalling = false;
  private hasRead: boolean;
  private startMs = 0;

  constructor(private readonly options: IQuarantinePersisterOptions) {
    this.hasRead = options.isFirstStart;
    this.decisionListener = options.quarantine.onDidChangeDecision((record) => {
      this.addPendingWrite(record);
      this.startTimer(0);
    });
    this.expiryListener = options.quarantine.onDidExpire((fingerprint) => {
      this.removeExpired(fingerprint);
    });
    this.restoreListener = options.onDidRestore?.(() => {
      this.writeAll();
    });
  }

  start(): void {
    this.startMs = this.options.clock.getMonotonicTime();
    this.startTimer(0);
  }

  dispose(): void {
    void this.decisionListener.dispose();
    void this.expiryListener.dispose();
    void this.restoreListener?.dispose();
    void this.timer?.dispose();
    this.background.abort(new Error('the node is shutting down'));
  }

  /** Schedules the next call. The timer runs only while one is due, so an idle node isn't woken. */
  private startTimer(delayMs: number): void {
    if (this.isCalling) return;
    void this.timer?.dispose();
    this.timer = this.options.clock.startTimer(delayMs, () => {
      void this.runOnce();
    });
  }

  private async runOnce(): Promise<void> {
    const { signal } = this.background;
    this.isCalling = true;
    const isDone = (await this.read(signal)) && (await this.writeNext(signal));
    this.isCalling = false;
    if (signal.aborted) return;
    if (!isDone) this.startTimer(RETRY_DELAY_MS);
    else if (this.pending.size > 0) this.startTimer(0);
    else if (this.isReadDue()) this.startTimer(READER_CHECK_INTERVAL_MS);
  }

  private isReadDue(): boolean {
    const sinceStartMs = this.options.clock.getMonotonicTime() - this.startMs;
    return !this.hasRead && sinceStartMs < READ_WINDOW_MS;
  }

  /** Removes an expired record. It expires on all nodes at about the same time, so one node removes it. */
  private removeExpired(fingerprint: string): void {
    if (!this.options.isReader()) return;
    this.addPendingWrite({ fingerprint, crashes: [], trials: 0, holdMs: 0 });
    this.startTimer(0);
  }

  /** Writes all decisions again after a restore lost the newer ones; one node per failure domain does. */
  private writeAll(): void {
    if (!this.options.isReader()) return;
    const quarantined = this.options.quarantine.listQuarantined();
    for (const record of quarantined) this.addPendingWrite(record);
    if (quarantined.length > 0) this.startTimer(0);
  }

  private addPendingWrite(record: ICrashHistoryRecord): void {
    this.pending.delete(record.fingerprint);
    this.pending.set(record.fingerprint, record);
    const [oldest] = this.pending.keys();
    if (this.pending.size <= MAX_PENDING_WRITES || oldest === undefined) return;
    this.pending.delete(oldest);
    this.options.log.warn('too many pending writes; quarantine decision is not stored', {
      fingerprint: oldest,
    });
  }

  /** Reads all records if that is due. Returns false if the call failed. */
  private async read(signal: AbortSignal): Promise<boolean> {
    const { isReader, log, sharing, store } = this.options;
    if (!this.isReadDue() || !isReader()) return true;
    return this.tryCall('held requests not read', signal, async () => {
      const records = await store.readAll(signal);
      this.hasRead = true;
      sharing.handleStoredRecords(records);
      log.info('held requests read', { count: records.length });
    });
  }

  private async writeNext(signal: AbortSignal): Promise<boolean> {
    const { store } = this.options;
    const [next] = this.pending.values();
    if (next === undefined) return true;
    const { crashes, fingerprint } = next;
    const isWritten = await this.tryCall('verdict not kept yet', signal, () => {
      return crashes.length > 0 ? store.put(next, signal) : store.remove(fingerprint, signal);
    });
    // A newer record of the same request, added during the call, is written next.
    if (isWritten && this.pending.get(fingerprint) === next) this.pending.delete(fingerprint);
    return isWritten;
  }

  private async tryCall(
    message: string,
    signal: AbortSignal,
    call: () => Promise<void>,
  ): Promise<boolean> {
    try {
      await call();
      return true;
    } catch (error) {
      if (signal.aborted) return false;
      const failure = error instanceof StoreCallError ? error.failure : 'fault of the program';
      const reason = error instanceof Error ? error.message : String(error);
      this.options.log.warn(message, { failure, reason, waiting: this.pending.size });
      return false;
    }
  }
}
