/**
 * Splits a service into shards. A single home for a whole service sees all of its slots and
 * outcomes, and so routes better than one home per failure domain. Only a service that one node
 * can't handle is split, first by failure domain, then each domain into equal parts.
 */
import type { IShard } from '@parsleymux/fleet';
import type { Service, Target } from '@parsleymux/schema';

/**
 * Maximum number of slots that one home serves; docs/decisions on homes has the measurement behind
 * it.
 */
export const DEFAULT_MAX_SHARD_SLOTS = 300;

/** A shard with its targets and floor. */
export interface IPlannedShard extends IShard {
  readonly targets: readonly Target[];
  /**
   * Its share of the service's floor, rounded up, so that the floor holds though homes decide
   * independently.
   */
  readonly floorSlots: number;
}

/**
 * Returns the shards of a service, the same on every node with the same configuration.
 *
 * @example
 * const shards = planShards('dobrescu', service);
 */
export function planShards(
  member: string,
  service: Service,
  maxSlots = DEFAULT_MAX_SHARD_SLOTS,
): readonly IPlannedShard[] {
  const id = `${member}/${service.name}`;
  const total = countSlots(service.targets);
  if (total <= maxSlots) return [buildShard(id, service, service.targets)];
  return [...listByDomain(service.targets)].flatMap(([domain, targets]) => {
    const parts = Math.ceil(countSlots(targets) / maxSlots);
    return Array.from({ length: parts }, (_, part) => {
      const inPart = targets.filter((_target, index) => index % parts === part);
      const suffix = parts === 1 ? domain : `${domain}/${part}`;
      return buildShard(`${id}/${suffix}`, service, inPart);
    });
  });
}

function buildShard(id: string, service: Service, targets: readonly Target[]): IPlannedShard {
  const share = countSlots(targets) / Math.max(1, countSlots(service.targets));
  const domains = [...listByDomain(targets)];
  domains.sort((left, right) => countSlots(right[1]) - countSlots(left[1]));
  return {
    id,
    targets,
    floorSlots: Math.ceil(share * service.floorSlots),
    failureDomains: domains.map(([domain]) => domain),
  };
}

function listByDomain(targets: readonly Target[]): ReadonlyMap<string, readonly Target[]> {
  const byDomain = new Map<string, Target[]>();
  for (const target of targets) {
    const inDomain = byDomain.get(target.failureDomain) ?? [];
    inDomain.push(target);
    byDomain.set(target.failureDomain, inDomain);
  }
  return new Map([...byDomain].sort(([left], [right]) => (left < right ? -1 : 1)));
}

function countSlots(targets: readonly Target[]): number {
  return targets.reduce((sum, target) => sum + target.slots, 0);
}
