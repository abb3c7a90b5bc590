/** Logs each change of the configuration, targets and members that a node knows. */
import type { Logger } from '@parsleymux/base';
import type { ITargetRecord } from '@parsleymux/scheduling';
import type { ITableChange } from '../../directory/common/authority.js';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';

/**
 * Logs all changes from now on.
 *
 * @example
 * logDirectoryChanges(directory, log);
 */
export function logDirectoryChanges(directory: NodeDirectory, log: Logger): void {
  const { catalog, members, targets } = directory;
  for (const table of directory.listTables()) {
    table.onDidRestore((era) => {
      const { name, version } = table;
      const ageMs = Math.round(table.getAgeMs());
      log.warn('table follows a store that came back older', { table: name, era, version, ageMs });
    });
  }
  directory.onDidChangeCatalog(({ routes, version }) => {
    const ageMs = Math.round(catalog.getAgeMs());
    log.info('configuration in force', { catalog: version, routes: routes.length, ageMs });
  });
  targets.onDidChange((changes) => {
    const { era, version } = targets;
    const ageMs = Math.round(targets.getAgeMs());
    log.info('targets changed', { era, version, ageMs, targets: changes.map(formatTarget) });
  });
  members.onDidChange((changes) => {
    const joined = changes.filter(({ value }) => value !== undefined).map(({ key }) => key);
    const left = changes.filter(({ value }) => value === undefined).map(({ key }) => key);
    log.info('members changed', { version: members.version, joined, left });
  });
}

function formatTarget({ key, value }: ITableChange<ITargetRecord>): string {
  if (value === undefined) return `${key} gone`;
  return `${key} ${value.service} ${value.isDraining ? 'draining' : 'ready'}`;
}
