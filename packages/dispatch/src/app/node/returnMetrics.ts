/** Metrics of the returns that were promised to refused callers. */
import type { HomeService, QuotaReturns } from '@parsleymux/scheduling';
import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';
import { RETURN_RESULTS } from '@parsleymux/scheduling';

/**
 * Registers the counter. Its values are read when metrics are collected.
 *
 * @example
 * countReturns(quotaReturns, homes, registry);
 */
export function countReturns(quota: QuotaReturns, homes: HomeService, registry: Registry): void {
  new Counter({
    name: 'parsleymux_returns_total',
    help: 'Returns of refused callers, by what their time was derived from and by how they ended.',
    labelNames: ['basis', 'result'],
    registers: [registry],
    collect() {
      this.reset();
      const slots = homes.listSchedulers().map(([, { returns }]) => returns.counts);
      const sources = [['quota', quota.counts] as const];
      for (const [basis, counts] of [
        ...sources,
        ...slots.map((each) => ['slots', each] as const),
      ]) {
        for (const result of RETURN_RESULTS) this.inc({ basis, result }, counts[result]);
      }
    },
  });
}
