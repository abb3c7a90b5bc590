/** Metric for malformed rows of the store. */
import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';
import type { Authority } from '../../directory/common/authority.js';

/**
 * Registers the counter. Its value is read from the tables when metrics are collected, so that tables do
 * not depend on metrics.
 *
 * @example
 * countMalformedRows(authority, registry);
 */
export function countMalformedRows(authority: Authority, registry: Registry): void {
  const { catalog, members, targets } = authority;
  new Counter({
    name: 'parsleymux_malformed_rows_total',
    help: 'Rows of the store that could not be decoded, by table.',
    labelNames: ['table'],
    registers: [registry],
    collect() {
      this.reset();
      this.inc({ table: 'catalog' }, catalog.malformedRows);
      this.inc({ table: 'members' }, members.malformedRows);
      this.inc({ table: 'targets' }, targets.malformedRows);
    },
  });
}
