/** The counter of entries in the store that nobody could make sense of. */
import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';
import type { Authority } from '../../directory/common/authority.js';

/**
 * Registers the counter. It is read from the tables when it is fetched, so that no table has to know
 * of metrics.
 *
 * @example
 * countMalformedRows(authority, registry);
 */
export function countMalformedRows(authority: Authority, registry: Registry): void {
  const { catalog, members, targets } = authority;
  new Counter({
    name: 'parsleymux_malformed_rows_total',
    help: 'Rows of the store that could not be understood and name nothing to use.',
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
