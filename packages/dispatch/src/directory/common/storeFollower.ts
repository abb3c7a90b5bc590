/** Reads a table of the authority while this node is a follower or receives no updates from peers. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import { JoinedSignal } from '@parsleymux/base';
import type { AuthorityTable, ITableChanges, ITableState } from './authority.js';
import { StoreCallError, StoreFailure } from './authority.js';
import type { FollowedTable } from './followedTable.js';

/** How often a node checks whether it has to read, in ms, once its copy is old enough. */
const IDLE_CHECK_MS = 150;
/** The same before the table was first read, in ms: until then, the node can't serve requests. */
const FIRST_READ_CHECK_MS = 20;
/** Delay after a failed read by the first follower, in ms; short, because the other nodes depend on it. */
const FOLLOWER_RETRY_MS = 400;
/** How much longer than its wait time a long poll takes at most while the store is slow, in ms. */
const OVERDUE_MS = 300;
/** Delay after a failed read by any other node, in ms; jittered, so that they don't overload the store. */
const OTHER_RETRY_MS = 1500;

/** How often a table is read, and how long the store may hold each read. */
export interface IPollTiming {
  /** Delay between two reads, in ms. */
  readonly pauseMs: number;
  /** How long the store may hold a read until the table changes (long poll), in ms. */
  readonly waitMs: number;
  /** If set, called for each read in place of {@link waitMs}. */
  readonly getWaitMs?: () => number;
}

/** Options of a {@link StoreFollower}. */
export interface IStoreFollowerOptions<T> {
  readonly table: FollowedTable<T>;
  readonly source: AuthorityTable<T>;
  readonly pollTiming: IPollTiming;
  readonly clock: Clock;
  readonly log: Logger;
  readonly jitter: (delayMs: number) => number;
  /** Whether this node has to read the table now. */
  readonly hasToRead: () => boolean;
  /** Age of the copy up to which this node doesn't have to read the table, in ms. */
  readonly getMaxAgeMs: () => number;
  /** Whether this node is the first follower. */
  readonly isFirst: () => boolean;
  /** Called after every successful read; `hasChanges` if it returned changes. */
  readonly onDidRead: (hasChanges: boolean) => void;
  /** Called after every failed read. */
  readonly onDidFail?: () => void;
  /** Called after a successful read that follows a failed one. */
  readonly onDidRegain?: () => void;
  /** Whether reads of other tables show that the store can be reached. Default: never. */
  readonly isStoreReachable?: () => boolean;
}

/**
 * Runs the read loop of one table.
 *
 * @example
 * await new StoreFollower({ table, source, pollTiming, ... }).run(signal);
 */
export class StoreFollower<T> {
  private isStoreLost = false;
  /** Whether the last read returned an older state than the copy had when the read was sent. */
  private isReadOlder = false;
  private readStartMs: number | undefined;
  /** When the last read succeeded. */
  private readMs = -Infinity;
  /** How long the store may hold the pending read, in ms. */
  private longPollMs = 0;
  /** Whether the response to the pending read has begun. */
  private hasResponse = false;
  private cancelled = new AbortController();
  private retryDelay = new AbortController();
  /** Whether the last read was cancelled because it was overdue. */
  private wasOverdue = false;
  /** Number of successful reads, and of failed reads by kind of failure. */
  readonly counts = { succeeded: 0, failed: new Map<StoreFailure, number>() };

  constructor(private readonly options: IStoreFollowerOptions<T>) {}

  /** Ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, hasToRead, pollTiming } = this.options;
    while (!signal.aborted) {
      if (!hasToRead()) {
        await clock.sleep(this.getIdleMs(), signal).catch(() => undefined);
        continue;
      }
      const isRead = await this.read(signal);
      if (isRead) await clock.sleep(pollTiming.pauseMs, signal).catch(() => undefined);
      else await this.sleepBeforeRetry(signal);
    }
  }

  /**
   * Whether a long poll is pending within its wait time and has no response yet, so that nothing has changed
   * since it began.
   */
  isLongPollPending(): boolean {
    if (this.readStartMs === undefined) return false;
    const pendingMs = this.options.clock.getMonotonicTime() - this.readStartMs;
    return !this.hasResponse && this.longPollMs > 0 && pendingMs <= this.longPollMs;
  }

  /** Whether a read succeeded within the last `limitMs`. */
  isRecentlyRead(limitMs: number): boolean {
    return this.options.clock.getMonotonicTime() - this.readMs < limitMs;
  }

  /**
   * Cancels a pending read; the next one follows immediately. After a network partition, the request or its
   * response may be lost, and the pending read would wrongly indicate that nothing changes.
   */
  cancelRead(): void {
    // A response that has begun ends by its own time limit, and what arrived of it is not discarded.
    if (this.hasResponse) return;
    this.cancelled.abort(new Error('read cancelled; its connection to the store may be lost'));
  }

  /** Ends the delay after a failed read: another table was read, so the store can be reached again. */
  endRetryDelay(): void {
    this.retryDelay.abort(new Error('the store can be reached'));
  }

  private async sleepBeforeRetry(signal: AbortSignal): Promise<void> {
    this.retryDelay = new AbortController();
    const joined = new JoinedSignal([signal, this.retryDelay.signal]);
    await this.options.clock.sleep(this.getRetryMs(), joined.signal).catch(() => undefined);
    joined.dispose();
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const { clock, table } = this.options;
    this.readStartMs = clock.getMonotonicTime();
    this.hasResponse = false;
    this.cancelled = new AbortController();
    const joined = new JoinedSignal([signal, this.cancelled.signal]);
    const overdueTimer = this.startOverdueTimer();
    try {
      const content = await this.readOnce(this.readStartMs, joined.signal);
      this.counts.succeeded += 1;
      this.readMs = clock.getMonotonicTime();
      this.recordRegained();
      this.options.onDidRead(content.changes.length > 0);
      return content.isPartial !== true;
    } catch (error) {
      if (signal.aborted) return false;
      if (this.cancelled.signal.aborted) return true;
      if (!(error instanceof StoreCallError)) throw error;
      const { failure } = error;
      this.counts.failed.set(failure, (this.counts.failed.get(failure) ?? 0) + 1);
      this.recordLost(error, table.name);
      this.options.onDidFail?.();
      return false;
    } finally {
      void overdueTimer?.dispose();
      joined.dispose();
      this.readStartMs = undefined;
    }
  }

  /**
   * Cancels a long poll whose response is overdue although the store can be reached: its connection is lost.
   * The next read isn't cancelled for that reason, so that a store that is slower than usual is read too.
   */
  private startOverdueTimer(): IDisposable | undefined {
    const { clock, isStoreReachable, pollTiming, table } = this.options;
    const { wasOverdue } = this;
    this.wasOverdue = false;
    const waitMs = pollTiming.getWaitMs?.() ?? pollTiming.waitMs;
    if (wasOverdue || waitMs === 0 || table.version === undefined) return undefined;
    return clock.startTimer(waitMs + OVERDUE_MS, () => {
      if (isStoreReachable?.() !== true) return;
      this.wasOverdue = true;
      this.cancelRead();
    });
  }

  private async readOnce(startMs: number, signal: AbortSignal): Promise<ITableChanges<T>> {
    const { clock, pollTiming, source, table } = this.options;
    const { era, version: after } = table;
    if (after === undefined) return this.applyAll(await source.readAll(signal), startMs);
    try {
      this.longPollMs = pollTiming.getWaitMs?.() ?? pollTiming.waitMs;
      const waitMs = this.longPollMs;
      const content = await source.readChanges(after, waitMs, signal, () => {
        this.hasResponse = true;
      });
      // The store responds to a long poll at a change or at the end of the wait, so it is as of its end.
      const readMs = waitMs > 0 ? clock.getMonotonicTime() : startMs;
      if (this.recordOlder(content, { era, version: after })) return await this.readWhole(signal);
      // Versions of different epochs aren't comparable, so the whole table has to be read.
      if ((content.era ?? 0) > table.era) return await this.readRestored(content, signal);
      // The version isn't advanced past malformed rows, so that they are read again.
      if (content.isPartial === true) table.freshMs = readMs;
      else table.apply(after, content, readMs);
      return content;
    } catch (error) {
      const isLost = error instanceof StoreCallError && error.failure === StoreFailure.HistoryLost;
      if (!isLost) throw error;
      const readMs = clock.getMonotonicTime();
      const content = await source.readAll(signal);
      this.options.log.warn('change history of a table was lost; read the whole table', {
        table: table.name,
        version: after,
        readEra: content.era ?? 0,
        readVersion: content.version,
      });
      return this.applyAll(content, readMs);
    }
  }

  private async readRestored(
    { era, version }: ITableChanges<T>,
    signal: AbortSignal,
  ): Promise<ITableChanges<T>> {
    const { log, table } = this.options;
    const { era: eraBefore, version: versionBefore } = table;
    log.warn('store came back from an older copy; reading the table whole', {
      table: table.name,
      era: era ?? 0,
      version,
      eraBefore,
      versionBefore,
    });
    return this.readWhole(signal);
  }

  private applyAll(content: ITableChanges<T>, readMs: number): ITableChanges<T> {
    if (content.isPartial !== true) this.options.table.setAll(content, readMs);
    return content;
  }

  /**
   * How long the loop sleeps while no read is due, in ms: until the copy may be too old, if that is later
   * than the next check. Checking every 150 ms, the loops of three tables would wake an idle node 20 times
   * a second in place of 4.
   */
  private getIdleMs(): number {
    const { getMaxAgeMs, table } = this.options;
    if (table.version === undefined) return FIRST_READ_CHECK_MS;
    return Math.max(IDLE_CHECK_MS, getMaxAgeMs() - table.getAgeMs() + 1);
  }

  /** Reads the table whole: a state that is older than the copy would never have an effect. */
  private async readWhole(signal: AbortSignal): Promise<ITableChanges<T>> {
    const { clock, source } = this.options;
    const startMs = clock.getMonotonicTime();
    return this.applyAll(await source.readAll(signal), startMs);
  }

  /** Returns whether a read returned an older state than was known when it was sent. */
  private recordOlder({ era = 0, version }: ITableChanges<T>, known: ITableState): boolean {
    const { log, table } = this.options;
    const isOlder = era < (known.era ?? 0) || (era === known.era && version < known.version);
    if (isOlder && !this.isReadOlder) {
      log.warn('store returned an older state; reading the table whole', {
        table: table.name,
        era,
        version,
        eraBefore: known.era,
        versionBefore: known.version,
        ageMs: Math.round(table.getAgeMs()),
      });
    }
    this.isReadOlder = isOlder;
    return isOlder;
  }

  private getRetryMs(): number {
    const { isFirst, jitter } = this.options;
    return jitter(isFirst() ? FOLLOWER_RETRY_MS : OTHER_RETRY_MS);
  }

  private recordLost(error: StoreCallError, table: string): void {
    if (this.isStoreLost) return;
    this.isStoreLost = true;
    this.options.log.warn('store lost', { table, failure: error.failure, reason: error.message });
  }

  private recordRegained(): void {
    if (!this.isStoreLost) return;
    this.isStoreLost = false;
    const { table } = this.options;
    this.options.log.info('store regained', { table: table.name, version: table.version });
    this.options.onDidRegain?.();
  }
}
