/** Metrics of the rejections of targets, at the homes of their services. */
import type { HomeService } from '@parsleymux/scheduling';
import type { Registry } from 'prom-client';
import { Counter, Gauge } from 'prom-client';

/**
 * Registers the metrics, which stay empty unless `scheduling.rejections` is enabled. Their values are read
 * when metrics are collected.
 *
 * @example
 * countRejections(homes, registry);
 */
export function countRejections(homes: HomeService, registry: Registry): void {
  new Counter({
    name: 'parsleymux_target_rejections_total',
    help: 'Requests that targets rejected, by cause, of the services whose home is this node.',
    labelNames: ['service', 'cause'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [service, { rejections }] of homes.listSchedulers()) {
        for (const [cause, count] of Object.entries(rejections?.model.counts ?? {})) {
          this.inc({ service, cause }, count);
        }
      }
    },
  });
  new Counter({
    name: 'parsleymux_refused_retries_total',
    help: 'Second attempts that the retry allowance did not carry, by service.',
    labelNames: ['service'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [service, { rejections }] of homes.listSchedulers()) {
        if (rejections !== undefined) this.inc({ service }, rejections.refusedRetries);
      }
    },
  });
  new Gauge({
    name: 'parsleymux_service_rejecting',
    help: 'Whether the targets of a service reject requests regardless of their load.',
    labelNames: ['service'],
    registers: [registry],
    collect() {
      for (const [service, { rejections }] of homes.listSchedulers()) {
        if (rejections !== undefined) this.set({ service }, rejections.model.isRejecting() ? 1 : 0);
      }
    },
  });
}
