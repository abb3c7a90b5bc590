/** Entries on which a node and an older state of the authority disagree, after the authority came back from it. */
import type { Clock } from '@parsleymux/base';
import type { ITableChange } from './authority.js';
import type { IRestoreGrace } from './followedTable.js';

/** Dropped entries are remembered this long, in ms: longer than a copy is old. */
const REMOVED_RETENTION_MS = 120_000;
/** Dropped entries that are remembered at most, the oldest going first. */
const MAX_REMOVED = 4096;

/**
 * What was written since the copy was made is written again, but not at once. Until then a target that was
 * dropped must not come back, and one that registered in that time is no reason to send its requests elsewhere.
 *
 * @example
 * if (restored.tryRetain(key)) continue; // the entry stays for now
 */
export class RestoredEntries<T> {
  /** Since when entries are kept that the older state lacks. */
  private readonly missing = new Map<string, number>();
  /** Entries of the older state that are not believed yet, and since when. */
  private readonly withheld = new Map<string, { readonly value: T; readonly sinceMs: number }>();
  private readonly removed = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly grace: IRestoreGrace,
  ) {}

  isMissing(key: string): boolean {
    return this.missing.has(key);
  }

  /** Whether something is to be written about the entry, or its time is to pass, before it changes. */
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

  /** Whether an entry that the older state lacks stays for now. */
  tryRetain(key: string): boolean {
    if (this.grace.missingMs === 0) return false;
    if (!this.missing.has(key)) this.missing.set(key, this.clock.getMonotonicTime());
    return true;
  }

  /** Whether an entry of the older state stays away for now: it was dropped not long ago. */
  tryWithhold({ key, value }: ITableChange<T>): boolean {
    const nowMs = this.clock.getMonotonicTime();
    const droppedMs = this.removed.get(key) ?? -Infinity;
    const isRecent = nowMs - droppedMs < REMOVED_RETENTION_MS;
    if (value === undefined || this.grace.removedMs === 0 || !isRecent) return false;
    this.withheld.set(key, { value, sinceMs: nowMs });
    return true;
  }

  /** The authority has written about an entry since it came back. */
  clear(key: string): void {
    this.missing.delete(key);
    this.withheld.delete(key);
  }

  /** Changes that are believed now, since nothing was written about them in time. */
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
