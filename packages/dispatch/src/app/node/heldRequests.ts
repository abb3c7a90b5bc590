/** How many requests this node holds back, for the metrics. */
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { RequestQuarantine } from '../../quarantine/common/requestQuarantine.js';

/**
 * @example
 * countHeldRequests(quarantine, registry);
 */
export function countHeldRequests(quarantine: RequestQuarantine, registry: Registry): void {
  new Gauge({
    name: 'parsleymux_held_requests',
    help: 'Requests that are held back, or may only be tried, for targets crashed under them.',
    registers: [registry],
    collect() {
      this.set(quarantine.listQuarantined().length);
    },
  });
}
