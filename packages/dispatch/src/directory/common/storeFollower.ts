/** Reads the authority's tables while this node is a follower, or while nobody tells it the news. */
import type { Clock, Logger } from '@parsleymux/base';
import { JoinedSignal } from '@parsleymux/base';
import type { AuthorityTable, ITableChanges } from './authority.js';
import { StoreCallError, StoreFailure } from './authority.js';
import type { FollowedTable } from './followedTable.js';

/** When this node looks again whether it has to read, in ms, once its copy is old enough for that. */
const IDLE_CHECK_MS = 150;
/** The same while the table was never read, in ms: the node can't serve before. */
const FIRST_READ_CHECK_MS = 20;
/** Wait after a failed read by the first followers, in ms: short, for all nodes wait for them. */
const FOLLOWER_RETRY_MS = 400;
/** Wait after a failed read by any other node, in ms; spread, so that a store is not stormed. */
const OTHER_RETRY_MS = 1500;

/** How a table is read. */
export interface IPollTiming {
  /** Pause between two reads, in ms. */
  readonly pauseMs: number;
  /** How long the store may hold a read until something changes, in ms. */
  readonly waitMs: number;
  /** In place of {@link waitMs} when it is called for, at each read. */
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
  /** Whether the table has to be read by this node now. */
  readonly hasToRead: () => boolean;
  /** Age of the copy up to which the table needn't be read by this node, in ms. */
  readonly getMaxAgeMs: () => number;
  /** Whether this node is among the first to read. */
  readonly isFirst: () => boolean;
  /** Called after every successful read; `hasNews` if it brought a change. */
  readonly onDidRead: (hasNews: boolean) => void;
  /** Called after every failed read. */
  readonly onDidFail?: () => void;
}

/**
 * One loop for one table.
 *
 * @example
 * await new StoreFollower({ table, source, pollTiming, ... }).run(signal);
 */
export class StoreFollower<T> {
  private isStoreLost = false;
  private readStartMs: number | undefined;
  /** How long the store may hold the read that is under way, in ms. */
  private longPollMs = 0;
  private cancelled = new AbortController();
  /** Reads that failed, by kind, and that went well. */
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
      const delayMs = isRead ? pollTiming.pauseMs : this.getRetryMs();
      await clock.sleep(delayMs, signal).catch(() => undefined);
    }
  }

  /** A read that the store holds has shown no change since it began. */
  isLongPollPending(): boolean {
    if (this.readStartMs === undefined) return false;
    return this.options.clock.getMonotonicTime() - this.readStartMs <= this.longPollMs;
  }

  /**
   * Gives up the read that the store may be holding; the next one follows at once. After a cut the
   * question or its answer may be lost, and the read would look quiet while everything changes.
   */
  cancelRead(): void {
    this.cancelled.abort(new Error('the way to the store was cut'));
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const { clock, table } = this.options;
    this.readStartMs = clock.getMonotonicTime();
    this.cancelled = new AbortController();
    const joined = new JoinedSignal([signal, this.cancelled.signal]);
    try {
      const content = await this.readOnce(this.readStartMs, joined.signal);
      this.counts.succeeded += 1;
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
      joined.dispose();
      this.readStartMs = undefined;
    }
  }

  private async readOnce(startMs: number, signal: AbortSignal): Promise<ITableChanges<T>> {
    const { clock, pollTiming, source, table } = this.options;
    const after = table.version;
    if (after === undefined) return this.applyAll(await source.readAll(signal), startMs);
    try {
      this.longPollMs = pollTiming.getWaitMs?.() ?? pollTiming.waitMs;
      const content = await source.readChanges(after, this.longPollMs, signal);
      // A held read is answered at the change or when the wait is over: it is as of its end.
      const readMs = this.longPollMs > 0 ? clock.getMonotonicTime() : startMs;
      // Versions of another era were given out again: what is new after them is not known.
      if ((content.era ?? 0) > table.era) return await this.readRestored(content, signal);
      // Rows that can't be understood are read again: the version behind them would hide them.
      if (content.isPartial === true) table.freshMs = readMs;
      else table.apply(after, content, readMs);
      return content;
    } catch (error) {
      const isLost = error instanceof StoreCallError && error.failure === StoreFailure.HistoryLost;
      if (!isLost) throw error;
      const content = await source.readAll(signal);
      this.options.log.warn('history of a table is lost; read it whole', {
        table: table.name,
        version: after,
        readEra: content.era ?? 0,
        readVersion: content.version,
      });
      return this.applyAll(content, clock.getMonotonicTime());
    }
  }

  private async readRestored(
    { era, version }: ITableChanges<T>,
    signal: AbortSignal,
  ): Promise<ITableChanges<T>> {
    const { clock, log, source, table } = this.options;
    const { era: before, version: versionBefore } = table;
    log.warn('store came back from an older copy; reading the table whole', {
      table: table.name,
      era: era ?? 0,
      version,
      eraBefore: before,
      versionBefore,
    });
    const startMs = clock.getMonotonicTime();
    return this.applyAll(await source.readAll(signal), startMs);
  }

  private applyAll(content: ITableChanges<T>, readMs: number): ITableChanges<T> {
    if (content.isPartial !== true) this.options.table.setAll(content, readMs);
    return content;
  }

  /**
   * A node that is told the news has nothing to look for before its copy is too old: looking every
   * 150 ms for each of three tables, it woke 20 times a second where 4 do.
   */
  private getIdleMs(): number {
    const { getMaxAgeMs: getMostAgeMs, table } = this.options;
    if (table.version === undefined) return FIRST_READ_CHECK_MS;
    return Math.max(IDLE_CHECK_MS, getMostAgeMs() - table.getAgeMs() + 1);
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
  }
}
