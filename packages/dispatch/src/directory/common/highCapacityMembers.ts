/** Which nodes do work for others: decide for a service, or tell their failure domain the news. */
import type { IMember } from './authority.js';

/**
 * Nodes of at least this share of the strongest one's capacity count as strong: several times the
 * others where VMs differ much, all of them where they are alike.
 */
const HIGH_CAPACITY_SHARE = 0.5;
/**
 * Share of the whole capacity that the strong ones must hold to do all of that work alone. Deciding for
 * others and telling them the news takes about a twentieth of the processor time of a fleet.
 */
const MIN_TOTAL_SHARE = 0.1;
/**
 * The strongest members where they can bear it and are `fewest` at least; else those of at least the
 * median capacity, never less than half. Most VMs of a large fleet are weak: as a home, one with a
 * quarter of a core is late with each answer, and one with a thin link needs seconds to tell sixty
 * others what changed. Then they take the news from each other and the store, which makes it worse.
 *
 * @example
 * const homes = listStrong(directory.members.listValues(), 3);
 */
export function listHighCapacityMembers(
  members: readonly IMember[],
  minCount = 1,
): readonly IMember[] {
  const most = Math.max(0, ...members.map(({ capacity }) => capacity));
  const strongest = members.filter(({ capacity }) => capacity >= most * HIGH_CAPACITY_SHARE);
  const isEnough = computeCapacity(strongest) >= MIN_TOTAL_SHARE * computeCapacity(members);
  if (isEnough && strongest.length >= minCount) return strongest;
  const capacities = members.map(({ capacity }) => capacity).sort((left, right) => left - right);
  const median = capacities[Math.floor(capacities.length / 2)] ?? 0;
  return members.filter(({ capacity }) => capacity >= median);
}

function computeCapacity(members: readonly IMember[]): number {
  return members.reduce((sum, { capacity }) => sum + capacity, 0);
}
