/** Creates the memory budget for callers and its metrics. */
import { MemoryBudget } from '@parsleymux/base';
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';

/** Default for a VM of 256 MiB. */
const DEFAULT_BYTES = 83_886_080;
/** Share that large bodies and responses leave to small ones. */
const RESERVE_SHARE = 0.125;

/**
 * Creates the budget for the requests of callers, and for responses that they have not read.
 *
 * @example
 * const budget = createCallerMemory(settings.callerMemoryBytes, registry);
 */
export function createCallerMemory(
  limitBytes: number | undefined,
  registry: Registry,
): MemoryBudget {
  const budget = new MemoryBudget({
    limitBytes: limitBytes ?? DEFAULT_BYTES,
    reserveShare: RESERVE_SHARE,
  });
  const registers = [registry];
  new Gauge({
    name: 'parsleymux_entry_held_bytes',
    help: 'Memory for requests of callers, and for responses that they have not read, in bytes.',
    registers,
    collect() {
      this.set(budget.usedBytes);
    },
  });
  new Gauge({
    name: 'parsleymux_entry_evictions',
    help: 'Requests and connections that were ended because the memory for callers was exceeded.',
    registers,
    collect() {
      this.set(budget.evictedCount);
    },
  });
  return budget;
}
