/** Division of services into shards for placement. */
import type { IShard } from '@parsleymux/fleet';
import type { Service } from '@parsleymux/schema';

/**
 * Describes the only shard of a service. Pooling all slots of a service at one home keeps its queue
 * short; docs/CAPACITY.md states the size from which a service has to be split.
 *
 * @example
 * placement.rank(describeShard('relinieri', service), 3);
 */
export function describeShard(member: string, service: Service): IShard {
  const slots = new Map<string, number>();
  for (const target of service.targets) {
    slots.set(target.failureDomain, (slots.get(target.failureDomain) ?? 0) + target.slots);
  }
  const ranked = [...slots].sort(([nameA, a], [nameB, b]) => b - a || (nameA < nameB ? -1 : 1));
  return { id: `${member}/${service.name}`, failureDomains: ranked.map(([name]) => name) };
}
