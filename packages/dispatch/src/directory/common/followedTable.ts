/** A node's copy of one table of the authority, and how fresh it is. */
import type { Clock, Event, IInstant } from '@parsleymux/base';
import { Emitter, measureElapsedMs, pickLater } from '@parsleymux/base';
import type { ITableChange, ITableChanges, ITableState } from './authority.js';
import { RestoredEntries } from './restoredEntries.js';

/** Changes are kept this long for peers that missed an update, in ms: several updates. */
const RECENT_CHANGES_MS = 5000;
/** By then all that the authority has lost was written again, or is gone, in ms. */
const RETENTION_MS = 15_000;
const NO_GRACE: IRestoreGrace = { missingMs: 0, removedMs: 0 };

interface IRecentChange<T> extends ITableChange<T> {
  readonly version: number;
  readonly atMs: number;
}

/** For how long a copy of an older state of the authority is not believed, in ms. */
export interface IRestoreGrace {
  /** Entries that the older state lacks stay so long: whoever wrote them writes them again. */
  readonly missingMs: number;
  /** Entries that were dropped stay away so long, though the older state has them. */
  readonly removedMs: number;
}

/** Options of a {@link FollowedTable}. */
export interface IFollowedTableOptions<T> {
  /** Name in messages between nodes. */
  readonly name: string;
  readonly clock: Clock;
  /** Whether two values of a key mean the same; such changes are not passed on. */
  readonly isSame: (left: T, right: T) => boolean;
  /** Whether a value is of an earlier time than the known one, whatever its version. Default: never. */
  readonly isOutdated?: (known: T, next: T) => boolean;
  /** Default: an older state is believed at once. */
  readonly restoreGrace?: IRestoreGrace;
}

/**
 * Only ever moves to newer eras, and within one to newer versions: an answer or update that arrives late
 * changes nothing. Entries of an older state that the authority came back from replace what is known as far as
 * they are no regression; see {@link RestoredEntries}.
 *
 * @example
 * table.setAll(await authority.targets.readAll(signal), clock.getMonotonicTime());
 */
export class FollowedTable<T> {
  private readonly entries = new Map<string, T>();
  private readonly recentChanges: IRecentChange<T>[] = [];
  /** Changes after this version are all in `kept`. */
  private recentAfter = 0;
  private currentVersion: number | undefined;
  private currentEra = 0;
  private restoredMs = -Infinity;
  private retainedUntilMs = -Infinity;
  private readonly restored: RestoredEntries<T>;
  private readonly changed = new Emitter<readonly ITableChange<T>[]>();
  private readonly restoredEmitter = new Emitter<number>();
  private proof: IInstant | undefined;
  /** The copy is as of this moment or later, in ms of the monotonic clock. */
  freshMs = -Infinity;

  /** Fires with the entries that changed. */
  readonly onDidChange: Event<readonly ITableChange<T>[]> = this.changed.onDidFire;

  /** Fires with the new era when the authority has come back from an older copy. */
  readonly onDidRestore: Event<number> = this.restoredEmitter.onDidFire;

  constructor(private readonly options: IFollowedTableOptions<T>) {
    this.restored = new RestoredEntries(options.clock, options.restoreGrace ?? NO_GRACE);
  }

  get name(): string {
    return this.options.name;
  }

  /** Undefined until the table was read or received once. */
  get version(): number | undefined {
    return this.currentVersion;
  }

  /** The authority's era that the version counts in. */
  get era(): number {
    return this.currentEra;
  }

  /**
   * Whether something of a former era is kept that the authority's state lacks. Copies of one version differ by
   * that, so a peer takes none of the other kind piece by piece, and no proof of it.
   */
  get isRetaining(): boolean {
    return this.options.clock.getMonotonicTime() < this.retainedUntilMs;
  }

  /** Whether the authority came back without this entry, and it was not written again yet. */
  isMissing(key: string): boolean {
    return this.restored.isMissing(key);
  }

  /** Entries that were dropped, and that the authority came back with. */
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
   * Takes a moment at which a copy of this state was the newest. For a read of the store it is the moment at
   * which the read was sent: its answer may have been under way for any time.
   */
  recordProof({ era = 0, isRetained = false, version }: ITableState, at: IInstant): void {
    if (era !== this.currentEra || isRetained !== this.isRetaining) return;
    if (this.currentVersion === undefined || this.currentVersion < version) return;
    this.proof = this.proof === undefined ? at : pickLater(this.options.clock, this.proof, at);
  }

  /** How long ago this copy was certainly the newest, in ms; infinite if that was never shown. */
  getProofAgeMs(): number {
    return this.proof === undefined ? Infinity : measureElapsedMs(this.options.clock, this.proof);
  }

  /** Takes a copy of the whole table that was read at `readMs`. */
  setAll(content: ITableChanges<T>, readMs: number): void {
    const { era = 0, isRetained, version } = content;
    if (era < this.currentEra) return;
    const isRestored = this.currentVersion !== undefined && era > this.currentEra;
    if (!isRestored && version < (this.currentVersion ?? -Infinity)) return;
    const keys = new Set(content.changes.map(({ key }) => key));
    const dropped = [...this.entries.keys()]
      .filter((key) => !keys.has(key))
      .map((key) => ({ key, value: undefined }));
    this.currentEra = era;
    const all = [...content.changes, ...dropped];
    const changes = this.listAccepted(all, isRestored);
    if (isRestored) this.applyRestored(changes, changes.length < all.length, version, readMs);
    else this.applyChanges(changes, version, readMs);
    if (isRetained === true) this.retainedUntilMs = this.getRetainEndMs();
    // The authority itself doesn't say; what it lacks is still kept here then.
    if (isRetained === false && !isRestored) this.endRetaining();
    for (const { isMissing, key } of content.changes) {
      if (isMissing === true) this.restored.tryRetain(key);
    }
    if (isRestored) this.restoredEmitter.fire(era);
  }

  /** Keeps all entries in a newer era, whose own state is an older one. */
  advanceEra(era: number, version: number, readMs: number): void {
    if (this.currentVersion === undefined || era <= this.currentEra) return;
    this.currentEra = era;
    this.applyRestored([], true, version, readMs);
    this.restoredEmitter.fire(era);
  }

  /**
   * Takes changes that are complete after version `after` of the same era. False when some are missing
   * between, or the era is a newer one.
   */
  apply(after: number, content: ITableChanges<T>, readMs: number): boolean {
    const { era = 0, version } = content;
    if (era < this.currentEra) return true;
    const current = this.currentVersion;
    if (era > this.currentEra || current === undefined || current < after) return false;
    if (version >= current) this.applyChanges(content.changes, version, readMs);
    return true;
  }

  /**
   * Recent changes after `known`, and the version after which they are complete.
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

  /** Changes to an older state; `isCut` if some of them are not believed yet. */
  private applyRestored(
    changes: readonly ITableChange<T>[],
    isCut: boolean,
    version: number,
    readMs: number,
  ): void {
    const isRetained = isCut || changes.some((change) => this.isRegression(change));
    this.restoredMs = this.options.clock.getMonotonicTime();
    if (isRetained) this.retainedUntilMs = this.getRetainEndMs();
    this.applyChanges(changes, version, readMs);
    this.clearRecentChanges(version);
  }

  /** Who has not fetched the table by now lacks what is not kept for it. */
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

  /** Changes to a whole copy, without those of an older state that would be a regression. */
  private listAccepted(
    changes: readonly ITableChange<T>[],
    isRestored: boolean,
  ): readonly ITableChange<T>[] {
    const { restored } = this;
    return changes.filter((change) => {
      const { key, value } = change;
      if (!isRestored) return !restored.isPending(key);
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
    const real = listNewest([...due, ...changes]).filter((change) => this.isChange(change));
    for (const change of real) {
      if (change.value === undefined) this.restored.recordRemoved(change.key);
      this.setEntry(change);
    }
    // What is no news here may be to a peer that has read the older state by itself.
    const isForAll = atMs - this.restoredMs < RETENTION_MS;
    const passedOn = isForAll ? listNewest([...due, ...changes]) : real;
    for (const change of passedOn) this.recentChanges.push({ ...change, version, atMs });
    if (real.length > 0) this.changed.fire(real);
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
 * The last change of each key. Changes arrive again and again, and where a key changed twice, the
 * older one differs from what is known by now and the newer one does not: taken one by one, the
 * older one alone would be applied.
 */
function listNewest<T extends ITableChange<unknown>>(changes: readonly T[]): readonly T[] {
  return [...new Map(changes.map((change) => [change.key, change])).values()];
}
