/** What a node follows, for the metrics. */
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { NodeDirectory } from '../../directory/common/nodeDirectory.js';
import type { HomeService } from '../../home/common/homeService.js';

/**
 * Registers the gauges. They are read when they are fetched.
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
    help: 'Era of the store that a table is followed in; rises when the store comes back older.',
    labelNames: ['table'],
    registers: [registry],
    collect() {
      for (const { era, name } of directory.listTables()) this.set({ table: name }, era);
    },
  });
  new Gauge({
    name: 'parsleymux_limited_targets',
    help: 'Targets of services whose home this node is that name a limit of requests.',
    registers: [registry],
    collect() {
      const targets = homes.listSchedulers().flatMap(([, scheduler]) => scheduler.listTargets());
      this.set(targets.filter(({ rateLimit }) => rateLimit.ratePerS !== undefined).length);
    },
  });
}
