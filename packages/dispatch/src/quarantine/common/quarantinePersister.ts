/** Writes verdicts on requests to the store, and reads them when the fleet starts anew. */
import type { Clock, Event, IDisposable, Logger } from '@parsleymux/base';
import { StoreCallError } from '../../directory/common/authority.js';
import type { QuarantineStore } from './quarantineStore.js';
import type { ICrashHistoryRecord } from './crashHistory.js';
import type { QuarantineGossip } from './quarantineGossip.js';
import type { RequestQuarantine } from './requestQuarantine.js';

/** How often a node that has just started looks whether it reads for others, in ms. */
const READER_CHECK_INTERVAL_MS = 250;
/** Until then, in ms after its start; later it has heard from others what they read. */
const READ_WINDOW_MS = 20_000;
/** Wait after a call that failed, in ms: callers don't wait for it. */
const RETRY_DELAY_MS = 1000;
/** Verdicts that wait to be written at most; the oldest goes first. */
const MAX_PENDING_WRITES = 256;

/** Options of a {@link QuarantinePersister}. */
export interface IQuarantinePersisterOptions {
  readonly quarantine: RequestQuarantine;
  /** Told what was read, so that the others hear of it. */
  readonly gossip: QuarantineGossip;
  readonly store: QuarantineStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether this node reads for others: one of a failure domain does, and tells the rest. */
  readonly isReader: () => boolean;
  /** Whether the whole fleet starts for the first time: no request was ever held back then. */
  readonly isFirstStart: boolean;
  /** Fires when the store has come back from an older copy. Default: it never does. */
  readonly onDidRestore?: Event<unknown>;
}

/**
 * When all nodes lose power at once, nobody is left to tell what the fleet knew, and the same request
 * would crash as many targets again. Verdicts are few, so each is written; only who follows the store for a
 * failure domain reads them, once, for each call is paid for.
 *
 * @example
 * keeper.start();
 */
export class QuarantinePersister implements IDisposable {
  private readonly decisionListener: IDisposable;
  private readonly expiryListener: IDisposable;
  private readonly restoreListener: IDisposable | undefined;
  private readonly waiting = new Map<string, ICrashHistoryRecord>();
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
      this.writeAgain();
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
    this.background.abort(new Error('the node stops'));
  }

  /** An idle node is not woken: the timer runs while there is something to read or to write. */
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
    else if (this.waiting.size > 0) this.startTimer(0);
    else if (this.isReadDue()) this.startTimer(READER_CHECK_INTERVAL_MS);
  }

  private isReadDue(): boolean {
    const sinceStartMs = this.options.clock.getMonotonicTime() - this.startMs;
    return !this.hasRead && sinceStartMs < READ_WINDOW_MS;
  }

  /** All nodes forget it at about the same time; one call is enough for a failure domain. */
  private removeExpired(fingerprint: string): void {
    if (!this.options.isReader()) return;
    this.addPendingWrite({ fingerprint, crashes: [], trials: 0, holdMs: 0 });
    this.startTimer(0);
  }

  /** What was written since the copy was made is gone; one node of a failure domain writes it again. */
  private writeAgain(): void {
    if (!this.options.isReader()) return;
    const convicted = this.options.quarantine.listQuarantined();
    for (const record of convicted) this.addPendingWrite(record);
    if (convicted.length > 0) this.startTimer(0);
  }

  private addPendingWrite(record: ICrashHistoryRecord): void {
    this.waiting.delete(record.fingerprint);
    this.waiting.set(record.fingerprint, record);
    const [oldest] = this.waiting.keys();
    if (this.waiting.size <= MAX_PENDING_WRITES || oldest === undefined) return;
    this.waiting.delete(oldest);
    this.options.log.warn('verdict is not kept: too many wait', { fingerprint: oldest });
  }

  /** False if the store did not answer. */
  private async read(signal: AbortSignal): Promise<boolean> {
    const { isReader, log, gossip, store } = this.options;
    if (!this.isReadDue() || !isReader()) return true;
    return this.tryCall('held requests not read', signal, async () => {
      const records = await store.readAll(signal);
      this.hasRead = true;
      gossip.handleStoredRecords(records);
      log.info('held requests read', { count: records.length });
    });
  }

  private async writeNext(signal: AbortSignal): Promise<boolean> {
    const { store } = this.options;
    const [next] = this.waiting.values();
    if (next === undefined) return true;
    const { crashes, fingerprint } = next;
    const isWritten = await this.tryCall('verdict not kept yet', signal, () => {
      return crashes.length > 0 ? store.put(next, signal) : store.remove(fingerprint, signal);
    });
    // What was decided meanwhile is written next.
    if (isWritten && this.waiting.get(fingerprint) === next) this.waiting.delete(fingerprint);
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
      this.options.log.warn(message, { failure, reason, waiting: this.waiting.size });
      return false;
    }
  }
}
