/** Metric for quarantined requests. */
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { RequestQuarantine } from '@parsleymux/scheduling';

/**
 * Registers the gauge of the quarantined requests that this node tracks.
 *
 * @example
 * countHeldRequests(quarantine, registry);
 */
export function countHeldRequests(quarantine: RequestQuarantine, registry: Registry): void {
  new Gauge({
    name: 'parsleymux_held_requests',
    help: 'Requests that are quarantined or on trial because targets crashed while running them.',
    registers: [registry],
    collect() {
      this.set(quarantine.listQuarantined().length);
    },
  });
}
