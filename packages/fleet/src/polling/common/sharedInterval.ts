/**
 * Poll intervals that grow with the fleet, so that all polls together stay within the platform's
 * rate limits.
 */

/** Options of {@link computeSharedInterval}. */
export interface ISharedIntervalOptions {
  /** Minimum interval of one node, in ms. */
  readonly baseMs: number;
  /** Number of nodes that poll. */
  readonly nodes: number;
  /** Polls per second that the whole fleet may make. */
  readonly fleetPerSecond: number;
}

/**
 * Returns the interval of one node, in ms. With a fixed interval the platform's load would grow
 * with the fleet: 2,100 nodes that read two items every 2 s need all of its two thousand reads per
 * second, and reads of all nodes are refused.
 *
 * @example
 * computeSharedInterval({ baseMs: 2000, nodes: 48, fleetPerSecond: 200 }); // 2000
 * computeSharedInterval({ baseMs: 2000, nodes: 2100, fleetPerSecond: 200 }); // 10500
 */
export function computeSharedInterval(options: ISharedIntervalOptions): number {
  return Math.max(options.baseMs, (options.nodes * 1000) / options.fleetPerSecond);
}
