/** Reads a table of the authority while this node is a follower or receives no updates from peers. */
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import { JoinedSignal, ResponseTimes } from '@parsleymux/base';
import type { AuthorityTable, ITableChanges, ITableState } from './authority.js';
import { StoreCallError, StoreFailure } from './authority.js';
import type { FollowedTable } from './followedTable.js';
import { StoreRead } from './storeRead.js';

/** How often a node checks whether it has to read, in ms, once its copy is old enough. */
const IDLE_CHECK_MS = 150;
/** The same before the table was first read, in ms: until then, the node can't serve requests. */
const FIRST_READ_CHECK_MS = 20;
/** Delay after a failed read by the first follower, in ms; short, because the other nodes depend on it. */
const FOLLOWER_RETRY_MS = 400;
/**
 * A response is overdue after this time, in ms, unless those of late took longer: a hundred times the usual latency.
 * Another read is sent beside it then.
 */
const MIN_OVERDUE_MS = 700;
/** Longest time after which a response is overdue, in ms. */
export const MAX_OVERDUE_MS = 3000;
/** Most overdue reads whose responses are awaited beside another one; none is sent beyond. */
const MAX_OVERDUE_READS = 1;
/** A long poll is repeated this long after its wait time, in ms, while reads of other tables are faster. */
const MIN_OVERDUE_POLL_MS = 300;
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
  /** Called after every failed read, and when one is overdue. */
  readonly onDidFail?: (isOverdue: boolean) => void;
  /** Called after a successful read that follows a failed one; `isLate` if the response had been overdue. */
  readonly onDidRegain?: (isLate: boolean) => void;
  /** Whether reads of other tables show that the store can be reached. Default: never. */
  readonly isStoreReachable?: () => boolean;
  /** What reads of the store took lately, in ms, shared by all tables. Default: what those of this table took. */
  readonly responseTimes?: ResponseTimes;
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
  /** When the last read succeeded, and when it was sent. */
  private readMs = -Infinity;
  private lastStartMs = -Infinity;
  /** The pending read, unless it is overdue. */
  private current: StoreRead | undefined;
  /** Overdue reads that are still pending, oldest first. */
  private readonly overdue = new Set<StoreRead>();
  private readonly responseTimes: ResponseTimes;
  /** An unexpected error of an overdue read. */
  private fault: { readonly error: unknown } | undefined;
  private retryDelay = new AbortController();
  /** Whether the last read was cancelled because it was overdue. */
  private wasOverdue = false;
  /** Number of successful reads, and of failed reads by kind of failure. */
  readonly counts = { succeeded: 0, failed: new Map<StoreFailure, number>() };

  constructor(private readonly options: IStoreFollowerOptions<T>) {
    this.responseTimes = options.responseTimes ?? new ResponseTimes(MAX_OVERDUE_MS);
  }

  /** Ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, hasToRead, pollTiming } = this.options;
    while (!signal.aborted) {
      if (this.fault !== undefined) throw this.fault.error;
      if (!hasToRead()) {
        await clock.sleep(this.getIdleMs(), signal).catch(() => undefined);
        continue;
      }
      // More of them would only make a slow store slower.
      if (this.overdue.size > MAX_OVERDUE_READS) {
        await this.sleepBeforeRetry(signal);
        continue;
      }
      const isRead = await this.read(signal);
      if (isRead) await clock.sleep(pollTiming.pauseMs, signal).catch(() => undefined);
      else await this.sleepBeforeRetry(signal);
    }
  }

  /**
   * Whether a long poll that was sent at `sinceMs` at the latest is pending within its wait time and has no response
   * yet, so that nothing had changed when a later read was sent that has a response.
   */
  isLongPollPending(sinceMs = Infinity): boolean {
    const { current } = this;
    if (current === undefined || current.hasResponse || current.startMs > sinceMs) return false;
    return current.waitMs > 0 && current.getAgeMs() <= current.waitMs;
  }

  /** When the last successful read was sent, in ms of the monotonic clock. */
  get lastReadStartMs(): number {
    return this.lastStartMs;
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
    if (this.current?.hasResponse === true) return;
    this.current?.cancel('read cancelled; its connection to the store may be lost');
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

  /** Reads once; returns whether the next read is due after the usual pause. */
  private async read(signal: AbortSignal): Promise<boolean> {
    const read = this.startRead(signal);
    this.current = read;
    const repeatTimer = this.startRepeatTimer(read);
    const finished = this.finish(read, signal);
    const isRead = await Promise.race([finished, read.overdue]).finally(() => {
      void repeatTimer?.dispose();
      this.current = undefined;
    });
    if (typeof isRead === 'boolean') return isRead;
    this.watchOverdue(read, finished);
    return false;
  }

  private startRead(signal: AbortSignal): StoreRead {
    const { clock, pollTiming, table } = this.options;
    const waitMs = pollTiming.getWaitMs?.() ?? pollTiming.waitMs;
    return new StoreRead({
      clock,
      signal,
      waitMs: table.version === undefined ? 0 : waitMs,
      getLimitMs: () => this.responseTimes.getLimitMs(MIN_OVERDUE_MS),
    });
  }

  private async finish(read: StoreRead, signal: AbortSignal): Promise<boolean> {
    try {
      const content = await this.readOnce(read);
      this.recordRead(read, content);
      return content.isPartial !== true;
    } catch (error) {
      if (signal.aborted) return false;
      if (read.isCancelled) return true;
      if (!(error instanceof StoreCallError)) throw error;
      // An overdue read has been recorded as a failed one.
      if (!this.overdue.has(read)) this.recordFailed(error);
      return false;
    } finally {
      if (this.overdue.delete(read)) this.endRetryDelay();
      read.dispose();
    }
  }

  /** Awaits the response of an overdue read further, beside the next reads. */
  private watchOverdue(read: StoreRead, finished: Promise<boolean>): void {
    this.overdue.add(read);
    finished.catch((error: unknown) => {
      this.fault = { error };
      this.endRetryDelay();
    });
    const reason = `no response for ${Math.round(read.getAgeMs())} ms; waiting for it further`;
    this.recordFailed(new StoreCallError(StoreFailure.Silent, reason), true);
  }

  private recordRead(read: StoreRead, { changes }: ITableChanges<T>): void {
    const { clock, log, onDidRead, table } = this.options;
    this.counts.succeeded += 1;
    this.readMs = clock.getMonotonicTime();
    this.lastStartMs = Math.max(this.lastStartMs, read.startMs);
    const isLate = this.overdue.has(read);
    if (isLate) {
      log.info('late response of the store', {
        table: table.name,
        ms: Math.round(read.getAgeMs()),
        waitMs: read.waitMs,
      });
    }
    for (const other of this.overdue) {
      if (other.startMs < read.startMs) other.cancel('a later read has succeeded');
    }
    this.recordRegained(isLate);
    onDidRead(changes.length > 0);
  }

  private recordFailed(error: StoreCallError, isOverdue = false): void {
    const { onDidFail, table } = this.options;
    const { failure } = error;
    this.counts.failed.set(failure, (this.counts.failed.get(failure) ?? 0) + 1);
    this.recordLost(error, table.name);
    onDidFail?.(isOverdue);
  }

  /**
   * Cancels a long poll whose response is overdue although the store can be reached: its connection is lost.
   * The next read isn't cancelled for that reason, so that a store that is slower than usual is read too.
   */
  private startRepeatTimer(read: StoreRead): IDisposable | undefined {
    const { clock, isStoreReachable } = this.options;
    const { wasOverdue } = this;
    this.wasOverdue = false;
    if (wasOverdue || read.waitMs === 0) return undefined;
    const dueMs = read.waitMs + this.responseTimes.getLimitMs(MIN_OVERDUE_POLL_MS);
    return clock.startTimer(dueMs - read.getAgeMs(), () => {
      // Responses may have become slower meanwhile.
      const limitMs = this.responseTimes.getLimitMs(MIN_OVERDUE_POLL_MS);
      if (isStoreReachable?.() !== true || read.getAgeMs() < read.waitMs + limitMs) return;
      this.wasOverdue = true;
      this.cancelRead();
    });
  }

  private async readOnce(read: StoreRead): Promise<ITableChanges<T>> {
    const { clock, source, table } = this.options;
    const { signal, startMs, waitMs } = read;
    const onDidRespond = () => {
      const tookMs = read.recordProgress();
      if (tookMs !== undefined) this.responseTimes.recordResponse(tookMs);
    };
    const { era, version: after } = table;
    if (after === undefined) {
      return this.applyAll(await source.readAll(signal, onDidRespond), startMs);
    }
    try {
      const content = await source.readChanges(after, waitMs, signal, onDidRespond);
      // The store responds to a long poll at a change or at the end of the wait.
      const responseMs = clock.getMonotonicTime() - this.responseTimes.getProbableMs();
      const readMs = waitMs > 0 ? Math.max(startMs, responseMs) : startMs;
      if (this.recordOlder(content, { era, version: after })) return await this.readWhole(read);
      // Versions of different epochs aren't comparable, so the whole table has to be read.
      if ((content.era ?? 0) > table.era) return await this.readRestored(content, read);
      // The version isn't advanced past malformed rows, so that they are read again.
      if (content.isPartial === true) table.freshMs = readMs;
      else table.apply(after, content, readMs);
      return content;
    } catch (error) {
      const isLost = error instanceof StoreCallError && error.failure === StoreFailure.HistoryLost;
      if (!isLost) throw error;
      const readMs = clock.getMonotonicTime();
      const content = await source.readAll(signal, onDidRespond);
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
    read: StoreRead,
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
    return this.readWhole(read);
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
  private async readWhole(read: StoreRead): Promise<ITableChanges<T>> {
    const { clock, source } = this.options;
    const startMs = clock.getMonotonicTime();
    const onDidRespond = () => {
      read.recordProgress();
    };
    return this.applyAll(await source.readAll(read.signal, onDidRespond), startMs);
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

  private recordRegained(isLate: boolean): void {
    if (!this.isStoreLost) return;
    this.isStoreLost = false;
    const { table } = this.options;
    this.options.log.info('store regained', { table: table.name, version: table.version });
    this.options.onDidRegain?.(isLate);
  }
}
