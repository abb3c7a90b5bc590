/** Metrics of the learned speeds of targets. */
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { HomeService } from '@parsleymux/scheduling';

/** Bounds of the slowness factors that are counted. */
const BOUNDS: readonly number[] = [0.5, 1, 1.5, 2, 4, 8, Infinity];

/**
 * Registers the gauge. Its values are read when metrics are collected; services without learned speeds have none.
 *
 * @example
 * countSpeeds(homes, clock, registry);
 */
export function countSpeeds(
  homes: HomeService,
  clock: { getMonotonicTime(): number },
  registry: Registry,
): void {
  new Gauge({
    name: 'parsleymux_target_slowness',
    help: 'Targets whose learned slowness factor is at most `le`, of the services whose home is this node.',
    labelNames: ['service', 'le'],
    registers: [registry],
    collect() {
      this.reset();
      const nowMs = clock.getMonotonicTime();
      for (const [service, scheduler] of homes.listSchedulers()) {
        const { speeds } = scheduler;
        if (speeds === undefined) continue;
        const factors = scheduler
          .listTargets()
          .map((target) => speeds.getMeanFactor(target, nowMs));
        for (const bound of BOUNDS) {
          const le = bound === Infinity ? '+Inf' : `${bound}`;
          this.set({ service, le }, factors.filter((factor) => factor <= bound).length);
        }
      }
    },
  });
}
