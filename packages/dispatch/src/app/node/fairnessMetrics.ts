/** Metrics of the division of slots between tenants. */
import type { Registry } from 'prom-client';
import { Counter, Gauge } from 'prom-client';
import type { HomeService } from '@parsleymux/scheduling';

/**
 * Registers the metrics. Their values are read when metrics are collected.
 *
 * @example
 * countFairness(homes, registry);
 */
export function countFairness(homes: HomeService, registry: Registry): void {
  new Counter({
    name: 'parsleymux_fair_share_refusals_total',
    help: 'Requests refused in favour of another tenant, of the services whose home is this node.',
    labelNames: ['service'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [service, scheduler] of homes.listSchedulers()) {
        this.inc({ service }, scheduler.fairRefusals);
      }
    },
  });
  new Gauge({
    name: 'parsleymux_waiting_tenants',
    help: 'Tenants with queued requests, if the slots of a service are divided between tenants.',
    labelNames: ['service'],
    registers: [registry],
    collect() {
      for (const [service, scheduler] of homes.listSchedulers()) {
        this.set({ service }, scheduler.queue.countWaitingTenants());
      }
    },
  });
}
