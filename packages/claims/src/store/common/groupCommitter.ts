/**
 * Commits the row changes of concurrent requests together: the table carries several hundred
 * writes a second, which single claims would exceed long before the nodes are busy.
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

/** Two ms: docs/decisions/40-at-most-once.md has the measurements. */
export const DEFAULT_GROUP_MS = 2;
const DEFAULT_MAX_ROWS = 64;
const DEFAULT_MAX_IN_FLIGHT = 4;
/** A key that never has a row; a condition on it asks the store without touching anything. */
const PROBE_KEY = 'claim/';
const JITTER_SEED = 1;

/** A conditional write of one row, or only its condition. */
export interface IRowChange {
  readonly key: string;
  /** Version that the row must have; 0 when it must not exist. */
  readonly expectedVersion: number;
  /** Null deletes the row; undefined writes nothing and only checks the version. */
  readonly value: string | null | undefined;
}

/** What became of a change. */
export interface IRowResult {
  readonly committed: boolean;
  /** When not committed: the row as it is; undefined when there is none. */
  readonly row: ITableRow | undefined;
}

/** Options of a {@link GroupCommitter}. */
export interface IGroupCommitterOptions {
  readonly table: TableService;
  readonly clock: Clock;
  /** Spreads probes of a silent store. Default: a fixed sequence. */
  readonly random?: RandomSource;
  /** Time that a change waits for others, in ms. Default 2. */
  readonly groupMs?: number;
  /** Most rows in one transaction. Default 64. */
  readonly maxRows?: number;
  /** Most transactions in flight; beyond it groups grow instead. Default 4. */
  readonly maxInFlight?: number;
}

interface IPendingChange {
  readonly change: IRowChange;
  readonly resolve: (result: IRowResult) => void;
  readonly reject: (error: unknown) => void;
}

const COMMITTED: IRowResult = { committed: true, row: undefined };

/**
 * Groups row changes into transactions. Each change succeeds or fails by its own condition.
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

  /** Whether the store has fallen silent, so that a new claim had better not be sent. */
  isStoreUnavailable(): boolean {
    return this.health.isUnavailable();
  }

  /** Rejects with a PlatformError when the platform gave no answer. */
  commit(change: IRowChange): Promise<IRowResult> {
    return new Promise((resolve, reject) => {
      this.waiting.push({ change, resolve, reject });
      this.startTimer(this.groupMs);
    });
  }

  /** Transactions sent so far. */
  getTransactionCount(): number {
    return this.transactions;
  }

  /** Row changes sent so far, counting each sending. */
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
   * Two changes of one row must not share a transaction: both conditions would hold, both
   * requests would be told that they won, and the key would run twice.
   */
  private takeGroup(): readonly IPendingChange[] {
    const group = new Map<string, IPendingChange>();
    const left: IPendingChange[] = [];
    for (const pending of this.waiting) {
      const fits = group.size < this.maxRows && !group.has(pending.change.key);
      if (fits) group.set(pending.change.key, pending);
      else left.push(pending);
    }
    this.waiting = left;
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

  /** Sends until every change of the group has its own result. */
  private async send(group: readonly IPendingChange[]): Promise<void> {
    let left = group;
    while (left.length > 0) {
      try {
        left = await this.sendOnce(left);
      } catch (error) {
        for (const pending of left) pending.reject(error);
        return;
      }
    }
  }

  /** Returns the changes that have no result yet: one failed condition stops all the others. */
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
      const isSilent = error instanceof PlatformError && error.failure === PlatformFailure.Unknown;
      if (isSilent) this.health.recordNoResponse();
      throw error;
    }
  }

  private async resolveConflicts(
    group: readonly IPendingChange[],
    conflicts: readonly ITableRow[],
  ): Promise<readonly IPendingChange[]> {
    const rows = new Map(conflicts.map((row) => [row.key, row]));
    const left: IPendingChange[] = [];
    for (const pending of group) {
      const row = rows.get(pending.change.key);
      if (row === undefined) left.push(pending);
      else pending.resolve({ committed: false, row });
    }
    if (left.length < group.length) return left;
    // No row is named, so one that was expected is missing, and the answer can't say which.
    if (left.length === 1) {
      left[0]?.resolve({ committed: false, row: undefined });
      return [];
    }
    await Promise.all(left.map((pending) => this.send([pending])));
    return [];
  }
}
