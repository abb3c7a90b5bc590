/** Metrics of the tables and targets that a node follows. */
import type { Clock } from '@parsleymux/base';
import type { Registry } from 'prom-client';
import { Counter, Gauge } from 'prom-client';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { HomeService } from '@parsleymux/scheduling';

const MS_PER_S = 1000;

/**
 * Registers the gauges. Their values are read when metrics are collected.
 *
 * @example
 * countDirectory(directory, homes, registry);
 */
export function countDirectory(
  directory: NodeDirectory,
  homes: HomeService,
  registry: Registry,
): void {
  new Gauge({
    name: 'parsleymux_store_era',
    help: 'Store epoch of a table; incremented when the store is restored from an older copy.',
    labelNames: ['table'],
    registers: [registry],
    collect() {
      for (const { era, name } of directory.listTables()) this.set({ table: name }, era);
    },
  });
  countCopies(directory, registry);
  new Gauge({
    name: 'parsleymux_limited_targets',
    help: 'Targets with an advertised rate limit, of the services whose home is this node.',
    registers: [registry],
    collect() {
      const targets = homes.listSchedulers().flatMap(([, scheduler]) => scheduler.listTargets());
      this.set(targets.filter(({ rateLimit }) => rateLimit.ratePerS !== undefined).length);
    },
  });
}

/**
 * Registers how late the process itself is: what it receives waits as long, and its time limits expire late.
 *
 * @example
 * measureDelay(clock, registry);
 */
export function measureDelay(clock: Clock, registry: Registry): void {
  new Gauge({
    name: 'parsleymux_process_delay_seconds',
    help: 'How late timers of this process have fired within the last seconds, at most.',
    registers: [registry],
    collect() {
      this.set(clock.getRecentDelayMs() / MS_PER_S);
    },
  });
}

/** Registers how current the copies of the tables are. */
function countCopies(directory: NodeDirectory, registry: Registry): void {
  const registers = [registry];
  new Gauge({
    name: 'parsleymux_table_age_seconds',
    help: 'Age of the copy of a table, in seconds; absent before its first read.',
    labelNames: ['table'],
    registers,
    collect() {
      for (const table of directory.listTables()) {
        if (table.version !== undefined)
          this.set({ table: table.name }, table.getAgeMs() / MS_PER_S);
      }
    },
  });
  new Counter({
    name: 'parsleymux_ignored_states_total',
    help: 'Copies and changes of a table that were ignored because they are older than the copy.',
    labelNames: ['table'],
    registers,
    collect() {
      this.reset();
      for (const { ignoredStates, name } of directory.listTables()) {
        this.inc({ table: name }, ignoredStates);
      }
    },
  });
  new Gauge({
    name: 'parsleymux_configuration_version',
    help: 'Version of the configuration: in force on this node, and the newest one that other nodes announced.',
    labelNames: ['kind'],
    registers,
    collect() {
      const version = directory.getCatalog()?.version ?? 0;
      this.set({ kind: 'in-force' }, version);
      this.set({ kind: 'newest' }, directory.announcedVersions.findNewest() ?? version);
    },
  });
}
