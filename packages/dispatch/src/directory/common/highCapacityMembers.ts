/** Selects the nodes that work for others: as homes of services or as followers of the store. */
import type { IMember } from './authority.js';

/**
 * Members with at least this share of the greatest capacity have high capacity. If VMs are alike, these are
 * all members.
 */
const HIGH_CAPACITY_SHARE = 0.5;
/**
 * Share of the total capacity that the high-capacity members must have to do all of this work alone.
 * Scheduling for others and sending them updates takes about a twentieth of the CPU time of a fleet.
 */
const MIN_TOTAL_SHARE = 0.1;

/**
 * Lists the high-capacity members if they can do the work and are at least `minCount`; otherwise the members
 * of at least the median capacity, which are at least half of all. Most VMs of a large fleet are small: as a
 * home, one with a quarter of a core is late with each response, and one with a slow link needs seconds to
 * send changes to sixty others. These then read from other nodes and the store, which adds to the load.
 *
 * @example
 * const homes = listHighCapacityMembers(directory.members.listValues(), 3);
 */
export function listHighCapacityMembers(
  members: readonly IMember[],
  minCount = 1,
): readonly IMember[] {
  const maxCapacity = Math.max(0, ...members.map(({ capacity }) => capacity));
  const highCapacity = members.filter(
    ({ capacity }) => capacity >= maxCapacity * HIGH_CAPACITY_SHARE,
  );
  const isEnough = computeCapacity(highCapacity) >= MIN_TOTAL_SHARE * computeCapacity(members);
  if (isEnough && highCapacity.length >= minCount) return highCapacity;
  const capacities = members.map(({ capacity }) => capacity).sort((left, right) => left - right);
  const median = capacities[Math.floor(capacities.length / 2)] ?? 0;
  return members.filter(({ capacity }) => capacity >= median);
}

function computeCapacity(members: readonly IMember[]): number {
  return members.reduce((sum, { capacity }) => sum + capacity, 0);
}
