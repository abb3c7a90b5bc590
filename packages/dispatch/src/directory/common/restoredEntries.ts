/** Entries on which a node's copy and an authority that was restored from an older copy disagree. */
import type { Clock } from '@parsleymux/base';
import type { ITableChange } from './authority.js';
import type { IRestoreGrace } from './followedTable.js';

/** How long removed entries are tracked, in ms: longer than the age of a copy used for a restore. */
const REMOVED_RETENTION_MS = 120_000;
/** Most removed entries tracked; the oldest are discarded first. */
const MAX_REMOVED = 4096;

/**
 * Tracks these entries until the authority is up to date. Changes that the older copy lacks are written
 * again, but not immediately. Until then, a target that was removed must not be used again, and one that
 * registered after the copy was taken must stay usable.
 *
 * @example
 * if (restored.tryRetain(key)) continue; // the entry is retained for now
 */
export class RestoredEntries<T> {
  /** Entries retained although the restored state lacks them, and since when. */
  private readonly missing = new Map<string, number>();
  /** Entries of the restored state that are not applied yet, and since when. */
  private readonly withheld = new Map<string, { readonly value: T; readonly sinceMs: number }>();
  /** When entries were removed, by key. */
  private readonly removed = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly grace: IRestoreGrace,
  ) {}

  isMissing(key: string): boolean {
    return this.missing.has(key);
  }

  /** Whether the entry stays as it is until the authority writes it again or its grace period ends. */
  isPending(key: string): boolean {
    return this.missing.has(key) || this.withheld.has(key);
  }

  listWithheld(): readonly string[] {
    return [...this.withheld.keys()];
  }

  recordRemoved(key: string): void {
    this.removed.delete(key);
    this.removed.set(key, this.clock.getMonotonicTime());
    const [oldest] = this.removed.keys();
    if (this.removed.size > MAX_REMOVED && oldest !== undefined) this.removed.delete(oldest);
  }

  /** Retains an entry that the restored state lacks; returns whether it stays for now. */
  tryRetain(key: string): boolean {
    if (this.grace.missingMs === 0) return false;
    if (!this.missing.has(key)) this.missing.set(key, this.clock.getMonotonicTime());
    return true;
  }

  /** Withholds an entry of the restored state that was removed recently; returns whether it does. */
  tryWithhold({ key, value }: ITableChange<T>): boolean {
    const nowMs = this.clock.getMonotonicTime();
    const removedMs = this.removed.get(key) ?? -Infinity;
    const isRecent = nowMs - removedMs < REMOVED_RETENTION_MS;
    if (value === undefined || this.grace.removedMs === 0 || !isRecent) return false;
    this.withheld.set(key, { value, sinceMs: nowMs });
    return true;
  }

  /** Records that the entry was written to the authority after the restore. */
  clear(key: string): void {
    this.missing.delete(key);
    this.withheld.delete(key);
  }

  /** Takes the changes whose grace period ended without a new write, which now apply. */
  takeDue(): readonly ITableChange<T>[] {
    const nowMs = this.clock.getMonotonicTime();
    const due: ITableChange<T>[] = [];
    for (const [key, sinceMs] of this.missing) {
      if (nowMs - sinceMs < this.grace.missingMs) continue;
      this.missing.delete(key);
      due.push({ key, value: undefined });
    }
    for (const [key, { sinceMs, value }] of this.withheld) {
      if (nowMs - sinceMs < this.grace.removedMs) continue;
      this.withheld.delete(key);
      due.push({ key, value });
    }
    return due;
  }
}
