/** The metric of requests that wait for a slot. */
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { ShutdownLimit } from '../../entry/common/shutdownLimit.js';

/**
 * Registers the gauge. Its value is read when metrics are collected.
 *
 * @example
 * countWaitingRequests(shutdownLimit, registry);
 */
export function countWaitingRequests(shutdownLimit: ShutdownLimit, registry: Registry): void {
  new Gauge({
    name: 'parsleymux_waiting_requests',
    help: 'Requests of callers of this node that wait for the decision of a home, retries included.',
    registers: [registry],
    collect() {
      this.set(shutdownLimit.waiting);
    },
  });
}
