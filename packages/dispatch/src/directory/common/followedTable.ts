/** A node's copy of one table of the authority, and how fresh it is. */
import type { Clock, Event, IInstant } from '@parsleymux/base';
import { Emitter, measureElapsedMs, pickLaterInstant } from '@parsleymux/base';
import type { ITableChange, ITableChanges, ITableState } from './authority.js';
import { RestoredEntries } from './restoredEntries.js';

/** Recent changes are kept this long for peers that missed updates, in ms: the time of several updates. */
const RECENT_CHANGES_MS = 5000;
/** After a restore, entries that it lost are written again or expire within this time, in ms. */
const RETENTION_MS = 15_000;
const NO_GRACE: IRestoreGrace = { missingMs: 0, removedMs: 0 };

interface IRecentChange<T> extends ITableChange<T> {
  readonly version: number;
  readonly atMs: number;
}

/** Grace periods after the authority was restored from an older copy, in ms. */
export interface IRestoreGrace {
  /** How long entries that the restored state lacks are retained, as their writers write them again. */
  readonly missingMs: number;
  /** How long entries that were removed, but are in the restored state, are withheld. */
  readonly removedMs: number;
}

/** Options of a {@link FollowedTable}. */
export interface IFollowedTableOptions<T> {
  /** Name of the table in messages between nodes. */
  readonly name: string;
  readonly clock: Clock;
  /** Whether two values of a key are equivalent; such changes are not replicated. */
  readonly isSame: (left: T, right: T) => boolean;
  /** Whether a value is older than the known one, regardless of its version. Default: never. */
  readonly isOutdated?: (known: T, next: T) => boolean;
  /** Default: a restored state is applied immediately. */
  readonly restoreGrace?: IRestoreGrace;
  /**
   * Whether a value is newer than the known one, regardless of the state that it comes from. Such values are
   * taken from older states too. Default: never.
   */
  readonly isNewer?: (known: T, next: T) => boolean;
}

/**
 * Holds the copy. It only moves to newer store epochs and, within one, to newer versions, so that late
 * responses and updates have no effect. After the authority was restored from an older copy, its entries
 * replace the known ones unless that would be a regression; see {@link RestoredEntries}.
 *
 * @example
 * table.setAll(await authority.targets.readAll(signal), clock.getMonotonicTime());
 */
export class FollowedTable<T> {
  private readonly entries = new Map<string, T>();
  private readonly recentChanges: IRecentChange<T>[] = [];
  /** All changes after this version are in `recentChanges`. */
  private recentAfter = 0;
  private currentVersion: number | undefined;
  private currentEra = 0;
  private restoredMs = -Infinity;
  private retainedUntilMs = -Infinity;
  private readonly restored: RestoredEntries<T>;
  private readonly changed = new Emitter<readonly ITableChange<T>[]>();
  private readonly restoredEmitter = new Emitter<number>();
  private proof: IInstant | undefined;
  /** Number of copies and changes that were ignored because they are older than this copy. */
  ignoredStates = 0;
  /** The copy is at least as recent as this time, in ms of the monotonic clock. */
  freshMs = -Infinity;

  /** Fires with the entries that changed. */
  readonly onDidChange: Event<readonly ITableChange<T>[]> = this.changed.onDidFire;

  /** Fires with the new epoch when the authority was restored from an older copy. */
  readonly onDidRestore: Event<number> = this.restoredEmitter.onDidFire;

  constructor(private readonly options: IFollowedTableOptions<T>) {
    this.restored = new RestoredEntries(options.clock, options.restoreGrace ?? NO_GRACE);
  }

  get name(): string {
    return this.options.name;
  }

  /** Version of the copy; undefined until the table was first read or received. */
  get version(): number | undefined {
    return this.currentVersion;
  }

  /** Store epoch to which the version belongs. */
  get era(): number {
    return this.currentEra;
  }

  /**
   * Whether entries of a former epoch are retained that the authority lacks. Copies of the same version with
   * and without them differ, so neither changes nor freshness proofs apply between the two kinds.
   */
  get isRetaining(): boolean {
    return this.options.clock.getMonotonicTime() < this.retainedUntilMs;
  }

  /** Whether the restored authority lacks this entry and it hasn't been written again yet. */
  isMissing(key: string): boolean {
    return this.restored.isMissing(key);
  }

  /** Keys of removed entries that are in the restored authority and withheld for now. */
  listWithheld(): readonly string[] {
    return this.restored.listWithheld();
  }

  get(key: string): T | undefined {
    return this.entries.get(key);
  }

  listValues(): readonly T[] {
    return [...this.entries.values()];
  }

  listEntries(): readonly (readonly [key: string, value: T])[] {
    return [...this.entries];
  }

  getAgeMs(): number {
    return this.options.clock.getMonotonicTime() - this.freshMs;
  }

  /**
   * Records a time at which a copy of this state was the newest. For a read of the store, that is when the
   * read was sent, because its response may have been delayed for any time.
   */
  recordProof({ era = 0, isRetained = false, version }: ITableState, at: IInstant): void {
    if (era !== this.currentEra || isRetained !== this.isRetaining) return;
    if (this.currentVersion === undefined || this.currentVersion < version) return;
    this.proof =
      this.proof === undefined ? at : pickLaterInstant(this.options.clock, this.proof, at);
  }

  /** Time since this copy was last proven to be the newest, in ms; infinite if it never was. */
  getProofAgeMs(): number {
    return this.proof === undefined ? Infinity : measureElapsedMs(this.options.clock, this.proof);
  }

  /** Replaces the content by a copy of the whole table that was read at `readMs`. */
  setAll(content: ITableChanges<T>, readMs: number): void {
    const { era = 0, isRetained, version } = content;
    const isRestored = this.currentVersion !== undefined && era > this.currentEra;
    const isOlder = !isRestored && version < (this.currentVersion ?? -Infinity);
    if (era < this.currentEra || isOlder) {
      this.applyOlder(content.changes);
      return;
    }
    const keys = new Set(content.changes.map(({ key }) => key));
    const removed = [...this.entries.keys()]
      .filter((key) => !keys.has(key))
      .map((key) => ({ key, value: undefined }));
    this.currentEra = era;
    const all = [...content.changes, ...removed];
    const changes = this.listAccepted(all, isRestored);
    if (isRestored) this.applyRestored(changes, changes.length < all.length, version, readMs);
    else this.applyChanges(changes, version, readMs);
    if (isRetained === true) this.retainedUntilMs = this.getRetainEndMs();
    // Undefined for reads of the authority: entries that it lacks are still retained then.
    if (isRetained === false && !isRestored) this.endRetaining();
    for (const { isMissing, key } of content.changes) {
      if (isMissing === true) this.restored.tryRetain(key);
    }
    if (isRestored) this.restoredEmitter.fire(era);
  }

  /** Moves to a newer epoch, but retains all entries because the restored state is older. */
  advanceEra(era: number, version: number, readMs: number): void {
    if (this.currentVersion === undefined || era <= this.currentEra) return;
    this.currentEra = era;
    this.applyRestored([], true, version, readMs);
    this.restoredEmitter.fire(era);
  }

  /**
   * Applies changes that are complete after version `after` of the same epoch. Returns false if changes in
   * between are missing or if the epoch is newer.
   */
  apply(after: number, content: ITableChanges<T>, readMs: number): boolean {
    const { era = 0, version } = content;
    if (era < this.currentEra) {
      this.applyOlder(content.changes);
      return true;
    }
    const current = this.currentVersion;
    if (era > this.currentEra || current === undefined || current < after) return false;
    if (version >= current) this.applyChanges(content.changes, version, readMs);
    else this.applyOlder(content.changes);
    return true;
  }

  /**
   * Lists recent changes after version `known`, and the version after which they are complete.
   *
   * @example
   * const { after, content } = table.listRecent(peerVersion);
   */
  listRecent(known = 0): { readonly after: number; readonly content: ITableChanges<T> } {
    const oldestMs = this.options.clock.getMonotonicTime() - RECENT_CHANGES_MS;
    const firstKept = this.recentChanges.findIndex(({ atMs }) => atMs >= oldestMs);
    const removed = this.recentChanges.splice(
      0,
      firstKept === -1 ? this.recentChanges.length : firstKept,
    );
    const newestRemoved = removed[removed.length - 1];
    if (newestRemoved !== undefined) this.recentAfter = newestRemoved.version;
    const after = Math.max(known, this.recentAfter);
    const changes = listNewest(this.recentChanges.filter(({ version }) => version > after));
    const { currentEra: era, isRetaining: isRetained } = this;
    return { after, content: { era, isRetained, version: this.currentVersion ?? 0, changes } };
  }

  /** Applies changes to a restored state; `isIncomplete` if some of them are deferred. */
  private applyRestored(
    changes: readonly ITableChange<T>[],
    isIncomplete: boolean,
    version: number,
    readMs: number,
  ): void {
    const isRetained = isIncomplete || changes.some((change) => this.isRegression(change));
    this.restoredMs = this.options.clock.getMonotonicTime();
    if (isRetained) this.retainedUntilMs = this.getRetainEndMs();
    this.applyChanges(changes, version, readMs);
    this.clearRecentChanges(version);
  }

  /** Discards recent changes, so that peers with an older copy have to fetch the whole table. */
  private clearRecentChanges(version: number): void {
    this.recentChanges.length = 0;
    this.recentAfter = version;
  }

  private getRetainEndMs(): number {
    return this.options.clock.getMonotonicTime() + RETENTION_MS;
  }

  private endRetaining(): void {
    if (this.retainedUntilMs === -Infinity) return;
    this.retainedUntilMs = -Infinity;
    this.clearRecentChanges(this.currentVersion ?? 0);
  }

  private isRegression({ key, value }: ITableChange<T>): boolean {
    const known = this.entries.get(key);
    if (known === undefined || value === undefined) return false;
    return this.options.isOutdated?.(known, value) === true;
  }

  /** Filters the changes of a whole copy; defers those of a restored state that would be a regression. */
  private listAccepted(
    changes: readonly ITableChange<T>[],
    isRestored: boolean,
  ): readonly ITableChange<T>[] {
    const { restored } = this;
    return changes.filter((change) => {
      const { isMissing = false, key, value } = change;
      const isRewritten = value !== undefined && !isMissing && restored.isMissing(key);
      if (!isRestored) return isRewritten || !restored.isPending(key);
      if (value === undefined) return !restored.tryRetain(key);
      return this.entries.has(key) || !restored.tryWithhold(change);
    });
  }

  private applyChanges(changes: readonly ITableChange<T>[], version: number, readMs: number): void {
    const atMs = this.options.clock.getMonotonicTime();
    if (atMs >= this.retainedUntilMs) this.endRetaining();
    if (this.currentVersion === undefined) this.recentAfter = version;
    this.currentVersion = version;
    this.freshMs = Math.max(this.freshMs, readMs);
    for (const { key } of changes) this.restored.clear(key);
    const due = this.restored
      .takeDue()
      .filter(({ key }) => !changes.some((one) => one.key === key));
    const effective = listNewest([...due, ...changes]).filter((change) => this.isChange(change));
    for (const change of effective) {
      if (change.value === undefined) this.restored.recordRemoved(change.key);
      this.setEntry(change);
    }
    // After a restore, a change without effect here may affect a peer that read the restored state itself.
    const isAfterRestore = atMs - this.restoredMs < RETENTION_MS;
    const replicated = isAfterRestore ? listNewest([...due, ...changes]) : effective;
    for (const change of replicated) this.recentChanges.push({ ...change, version, atMs });
    if (effective.length > 0) this.changed.fire(effective);
  }

  /**
   * Takes newer values from a state that is older than this copy, which stays at its state. The copy may have
   * been advanced by a read that lacked a change.
   */
  private applyOlder(changes: readonly ITableChange<T>[]): void {
    this.ignoredStates += 1;
    const { isNewer } = this.options;
    const newer = changes.filter(({ key, value }) => {
      const known = this.entries.get(key);
      return value !== undefined && known !== undefined && isNewer?.(known, value) === true;
    });
    if (newer.length === 0) return;
    for (const change of newer) this.setEntry(change);
    // Peers at the same state lack these values, so the changes after it are incomplete.
    this.clearRecentChanges(this.currentVersion ?? 0);
    this.changed.fire(newer);
  }

  private isChange({ key, value }: ITableChange<T>): boolean {
    const known = this.entries.get(key);
    if (value === undefined || known === undefined) return value !== known;
    const { isOutdated, isSame } = this.options;
    return !isSame(known, value) && isOutdated?.(known, value) !== true;
  }

  private setEntry({ key, value }: ITableChange<T>): void {
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, value);
  }
}

/**
 * Lists the last change of each key. Changes are received repeatedly. If a key changed twice, only the older
 * change differs from the known value, so filtering change by change would apply the older one alone.
 */
function listNewest<T extends ITableChange<unknown>>(changes: readonly T[]): readonly T[] {
  return [...new Map(changes.map((change) => [change.key, change])).values()];
}
