/** How often nodes read the configuration, so that the whole fleet keeps to the platform's rates. */
import type { MembershipService } from '@parsleymux/fleet';
import { computeSharedInterval } from '@parsleymux/fleet';

/** Reads of the head row that the whole fleet may make in a second. */
const HEAD_READS_PER_SECOND = 300;
/** Fresh nodes of the whole fleet that may read every configuration from the store in a second. */
const STARTS_PER_SECOND = 10;
const MAX_START_SPREAD_MS = 20_000;

/** What the configuration's distributor asks before it waits. */
export interface IConfigIntervals {
  readonly pollMs: () => number;
  readonly startSpreadMs: () => number;
}

/**
 * Follows the size of the fleet as this node sees it; docs/CAPACITY.md reckons with these rates.
 *
 * @example
 * const config = new ConfigDistributor({ ...parts, ...makeConfigPacing(membership, 2000) });
 */
export function makeConfigIntervals(
  membership: MembershipService,
  baseMs: number,
): IConfigIntervals {
  const computeInterval = (shortestMs: number, fleetPerSecond: number) => {
    const nodes = membership.getLiveNodes().length;
    return computeSharedInterval({ baseMs: shortestMs, nodes, fleetPerSecond });
  };
  return {
    pollMs: () => computeInterval(baseMs, HEAD_READS_PER_SECOND),
    startSpreadMs: () => Math.min(MAX_START_SPREAD_MS, computeInterval(0, STARTS_PER_SECOND)),
  };
}
