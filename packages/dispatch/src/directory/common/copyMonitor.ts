/** Detects copies of tables that have become too old because no updates of them arrive. */
import type { Clock, Event, Logger } from '@parsleymux/base';
import { Emitter } from '@parsleymux/base';
import type { FollowedTable } from './followedTable.js';

/** How often an outdated copy is checked, in ms. */
const OUTDATED_CHECK_MS = 150;
/** Shortest and longest time between checks of a current copy, in ms. */
const MIN_CHECK_MS = 20;
const MAX_CHECK_MS = 1000;

/** Options of a {@link CopyMonitor}. */
export interface ICopyMonitorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly tables: readonly FollowedTable<unknown>[];
  /** Age from which a copy is outdated, in ms. */
  readonly getMaxAgeMs: () => number;
  /** Describes where this node gets its updates, for the log. */
  readonly describeSources: () => Readonly<Record<string, unknown>>;
}

/**
 * Checks the ages of copies. Without updates, a node can't tell an unchanged table from one whose changes don't
 * reach it.
 *
 * @example
 * await new CopyMonitor({ clock, log, tables, getMaxAgeMs, describeSources }).run(signal);
 */
export class CopyMonitor {
  /** When each outdated copy became so, by the table's name. */
  private readonly outdatedMs = new Map<string, number>();
  private readonly outdated = new Emitter<void>();

  /** Fires at each check that finds an outdated copy. */
  readonly onDidFindOutdated: Event<void> = this.outdated.onDidFire;

  constructor(private readonly options: ICopyMonitorOptions) {}

  /** Ends when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleep(this.getCheckMs(), signal).catch(() => undefined);
      this.check();
    }
  }

  private check(): void {
    for (const table of this.listKnown()) {
      if (table.getAgeMs() >= this.options.getMaxAgeMs()) this.recordOutdated(table);
      else this.recordCurrent(table);
    }
    if (this.outdatedMs.size > 0) this.outdated.fire();
  }

  private recordOutdated(table: FollowedTable<unknown>): void {
    const { era, name, version } = table;
    if (this.outdatedMs.has(name)) return;
    const { clock, describeSources, log } = this.options;
    this.outdatedMs.set(name, clock.getMonotonicTime());
    const ageMs = Math.round(table.getAgeMs());
    log.warn('copy is outdated', { table: name, era, version, ageMs, ...describeSources() });
  }

  private recordCurrent({ era, name, version }: FollowedTable<unknown>): void {
    const sinceMs = this.outdatedMs.get(name);
    if (sinceMs === undefined) return;
    this.outdatedMs.delete(name);
    const { clock, log } = this.options;
    const ms = Math.round(clock.getMonotonicTime() - sinceMs);
    log.info('copy is current again', { table: name, era, version, ms });
  }

  /** Until a copy may be outdated, so that the checks don't wake an idle node more often than needed. */
  private getCheckMs(): number {
    if (this.outdatedMs.size > 0) return OUTDATED_CHECK_MS;
    const oldestMs = Math.max(0, ...this.listKnown().map((table) => table.getAgeMs()));
    const dueMs = this.options.getMaxAgeMs() - oldestMs;
    return Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, dueMs));
  }

  private listKnown(): readonly FollowedTable<unknown>[] {
    return this.options.tables.filter(({ version }) => version !== undefined);
  }
}
