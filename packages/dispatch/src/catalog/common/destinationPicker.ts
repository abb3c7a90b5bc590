/** Divides the requests of a route among its destinations by weight. */
import type { RandomSource } from '@parsleymux/base';
import type { IDestination, IRouteRule } from './catalog.js';

/**
 * Chooses independently for each request. Nodes see few requests each, so rotating in turn would
 * make all of them begin with the same destination; independent draws add up to the weights.
 *
 * @example
 * const service = new DestinationPicker(random).pick(route);
 */
export class DestinationPicker {
  constructor(private readonly random: RandomSource) {}

  /** The service of one destination; undefined when the route has none. */
  pick(route: IRouteRule): string | undefined {
    const { destinations } = route;
    if (destinations.length <= 1) return destinations[0]?.service;
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    return findServiceAt(destinations, this.random.getFloat() * total);
  }
}

function findServiceAt(destinations: readonly IDestination[], point: number): string | undefined {
  let left = point;
  for (const { service, weight } of destinations) {
    left -= weight;
    if (left < 0) return service;
  }
  return destinations[destinations.length - 1]?.service;
}
