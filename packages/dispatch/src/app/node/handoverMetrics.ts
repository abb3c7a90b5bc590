/** Metrics of the state that homes hand over. */
import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';
import type { HandoverSharing } from '../../grants/common/handoverSharing.js';
import { HANDOVER_EVENTS } from '../../grants/common/handoverSharing.js';

/**
 * Registers the counter. Its values are read when metrics are collected.
 *
 * @example
 * countHandovers(sharing, registry);
 */
export function countHandovers(sharing: HandoverSharing, registry: Registry): void {
  new Counter({
    name: 'parsleymux_handover_digests_total',
    help: 'Digests of the state of homes, by whether they were sent, received, outdated or applied.',
    labelNames: ['event'],
    registers: [registry],
    collect() {
      this.reset();
      for (const event of HANDOVER_EVENTS) this.inc({ event }, sharing.counts[event]);
    },
  });
}
