/** Distributes the requests of a route among its destinations by weight. */
import type { RandomSource } from '@parsleymux/base';
import type { IDestination, IRouteRule } from '@parsleymux/scheduling';

/**
 * Picks a destination at random for each request. With weighted round robin, all nodes would begin with
 * the same destination, and each receives few requests; independent picks add up to the weights.
 *
 * @example
 * const service = new DestinationPicker(random).pick(route);
 */
export class DestinationPicker {
  constructor(private readonly random: RandomSource) {}

  /** Picks the service of one destination; returns undefined if the route has none. */
  pick(route: IRouteRule): string | undefined {
    const { destinations } = route;
    if (destinations.length <= 1) return destinations[0]?.service;
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    return findServiceAt(destinations, this.random.getFloat() * total);
  }
}

function findServiceAt(destinations: readonly IDestination[], point: number): string | undefined {
  let remaining = point;
  for (const { service, weight } of destinations) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return destinations[destinations.length - 1]?.service;
}
