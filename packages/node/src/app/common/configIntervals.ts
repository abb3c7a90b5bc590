/** Intervals at which nodes read the configuration, so that the fleet respects the platform's rate limits. */
import type { MembershipService } from '@parsleymux/fleet';
import { computeSharedInterval } from '@parsleymux/fleet';

/** Reads of the head row per second that the whole fleet may make. */
const HEAD_READS_PER_SECOND = 300;
/** Newly started nodes per second of the whole fleet that may read every configuration from the store. */
const STARTS_PER_SECOND = 10;
const MAX_START_SPREAD_MS = 20_000;

/** Intervals that the configuration distributor reads before each wait. */
export interface IConfigIntervals {
  readonly pollMs: () => number;
  readonly startSpreadMs: () => number;
}

/**
 * Derives the intervals from the number of nodes that this node considers live; the calculations in
 * docs/CAPACITY.md assume these rates.
 *
 * @example
 * const config = new ConfigDistributor({ ...sources, ...makeConfigIntervals(membership, 2000) });
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
