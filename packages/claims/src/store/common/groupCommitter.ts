/**
 * Commits the row changes of concurrent requests in common transactions. The table supports
 * several hundred writes per second, a rate that individual claims would exceed long before the
 * nodes are fully loaded.
 */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import { SeededRandom } from '@parsleymux/base';
import type {
  ITableRow,
  ITableTransaction,
  ITransactionResult,
  TableService,
} from '@parsleymux/store';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import { StoreHealth } from './storeHealth.js';

/** Delay of a change in ms; docs/decisions/40-at-most-once.md has the measurements. */
export const DEFAULT_GROUP_MS = 2;
const DEFAULT_MAX_ROWS = 64;
const DEFAULT_MAX_IN_FLIGHT = 4;
/** A key that never has a row; a condition on it probes the store without changing anything. */
const PROBE_KEY = 'claim/';
const JITTER_SEED = 1;

/** A conditional write of one row, or a check of its version alone. */
export interface IRowChange {
  readonly key: string;
  /** Version that the row must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  /** New value; null deletes the row, undefined only checks the version. */
  readonly value: string | null | undefined;
}

/** Result of a change. */
export interface IRowResult {
  readonly committed: boolean;
  /** The current row if not committed; undefined if there is none. */
  readonly row: ITableRow | undefined;
}

/** Options of a {@link GroupCommitter}. */
export interface IGroupCommitterOptions {
  readonly table: TableService;
  readonly clock: Clock;
  /** Jitters probes of an unresponsive store. Default: a fixed sequence. */
  readonly random?: RandomSource;
  /** Time that a change waits for others to join its transaction, in ms. Default 2. */
  readonly groupMs?: number;
  /** Maximum number of rows in a transaction. Default 64. */
  readonly maxRows?: number;
  /** Maximum number of transactions in flight; at this limit groups grow instead. Default 4. */
  readonly maxInFlight?: number;
}

interface IPendingChange {
  readonly change: IRowChange;
  readonly resolve: (result: IRowResult) => void;
  readonly reject: (error: unknown) => void;
}

const COMMITTED: IRowResult = { committed: true, row: undefined };

/**
 * Groups row changes into transactions. Each change is committed or rejected by its own condition alone.
 *
 * @example
 * const result = await committer.commit({ key, expectedVersion: 0, value });
 */
export class GroupCommitter {
  private readonly table: TableService;
  private readonly clock: Clock;
  private readonly groupMs: number;
  private readonly maxRows: number;
  private readonly maxInFlight: number;
  private readonly health: StoreHealth;
  private waiting: IPendingChange[] = [];
  private timer: IDisposable | undefined;
  private inFlight = 0;
  private transactions = 0;
  private rows = 0;

  constructor(options: IGroupCommitterOptions) {
    this.table = options.table;
    this.clock = options.clock;
    this.groupMs = options.groupMs ?? DEFAULT_GROUP_MS;
    this.maxRows = options.maxRows ?? DEFAULT_MAX_ROWS;
    this.maxInFlight = options.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT;
    this.health = new StoreHealth({
      clock: options.clock,
      random: options.random ?? new SeededRandom(JITTER_SEED),
      probe: () => this.commit({ key: PROBE_KEY, expectedVersion: 0, value: undefined }),
    });
  }

  /** Whether the store is not responding, in which case no new claim should be sent. */
  isStoreUnavailable(): boolean {
    return this.health.isUnavailable();
  }

  /** Commits a change with others. Rejects with a PlatformError if the platform did not respond. */
  commit(change: IRowChange): Promise<IRowResult> {
    return new Promise((resolve, reject) => {
      this.waiting.push({ change, resolve, reject });
      this.startTimer(this.groupMs);
    });
  }

  /** Number of transactions sent so far. */
  getTransactionCount(): number {
    return this.transactions;
  }

  /** Number of row changes sent so far, including repeated ones. */
  getRowCount(): number {
    return this.rows;
  }

  private startTimer(delayMs: number): void {
    if (this.timer !== undefined || this.inFlight >= this.maxInFlight) return;
    this.timer = this.clock.startTimer(delayMs, () => {
      this.timer = undefined;
      void this.sendGroup(this.takeGroup());
    });
  }

  /**
   * Takes the next group. Two changes of one row must not share a transaction: both conditions
   * would hold, both requests would win the claim, and the key would run twice.
   */
  private takeGroup(): readonly IPendingChange[] {
    const group = new Map<string, IPendingChange>();
    const remaining: IPendingChange[] = [];
    for (const pending of this.waiting) {
      const fits = group.size < this.maxRows && !group.has(pending.change.key);
      if (fits) group.set(pending.change.key, pending);
      else remaining.push(pending);
    }
    this.waiting = remaining;
    return [...group.values()];
  }

  private async sendGroup(group: readonly IPendingChange[]): Promise<void> {
    if (group.length === 0) return;
    this.inFlight += 1;
    if (this.waiting.length > 0) this.startTimer(0);
    await this.send(group);
    this.inFlight -= 1;
    if (this.waiting.length > 0) this.startTimer(0);
  }

  /** Repeats transactions until every change of the group has its own result. */
  private async send(group: readonly IPendingChange[]): Promise<void> {
    let remaining = group;
    while (remaining.length > 0) {
      try {
        remaining = await this.sendOnce(remaining);
      } catch (error) {
        for (const pending of remaining) pending.reject(error);
        return;
      }
    }
  }

  /** Returns the changes without a result: one failed condition rejects the whole transaction. */
  private async sendOnce(group: readonly IPendingChange[]): Promise<readonly IPendingChange[]> {
    this.transactions += 1;
    this.rows += group.length;
    const result = await this.transact({
      conditions: group.map(({ change }) => ({ key: change.key, version: change.expectedVersion })),
      writes: group.flatMap(({ change: { key, value } }) => {
        return value === undefined ? [] : [{ key, value }];
      }),
    });
    if (result.committed) {
      for (const pending of group) pending.resolve(COMMITTED);
      return [];
    }
    return this.resolveConflicts(group, result.conflicts);
  }

  private async transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    try {
      const result = await this.table.transact(transaction);
      this.health.recordResponse();
      return result;
    } catch (error) {
      const isUnanswered =
        error instanceof PlatformError && error.failure === PlatformFailure.Unknown;
      if (isUnanswered) this.health.recordNoResponse();
      throw error;
    }
  }

  private async resolveConflicts(
    group: readonly IPendingChange[],
    conflicts: readonly ITableRow[],
  ): Promise<readonly IPendingChange[]> {
    const rows = new Map(conflicts.map((row) => [row.key, row]));
    const remaining: IPendingChange[] = [];
    for (const pending of group) {
      const row = rows.get(pending.change.key);
      if (row === undefined) remaining.push(pending);
      else pending.resolve({ committed: false, row });
    }
    if (remaining.length < group.length) return remaining;
    // No conflicting row was returned, so an expected row is missing, and the result can't identify it.
    if (remaining.length === 1) {
      remaining[0]?.resolve({ committed: false, row: undefined });
      return [];
    }
    await Promise.all(remaining.map((pending) => this.send([pending])));
    return [];
  }
}
