/** Intervals that grow with the fleet, so that its polls together stay within the platform's rates. */

/** Options of {@link computeSharedInterval}. */
export interface ISharedIntervalOptions {
  /** Shortest interval of one node, in ms. */
  readonly baseMs: number;
  /** Nodes that poll. */
  readonly nodes: number;
  /** Polls a second that the whole fleet may make. */
  readonly fleetPerSecond: number;
}

/**
 * The interval of one node, in ms. With a fixed interval the platform's load would grow with the
 * fleet: 2,100 nodes that read two things every 2 s need all of its two thousand reads a second,
 * seen as refused reads of everyone.
 *
 * @example
 * computeSharedInterval({ baseMs: 2000, nodes: 48, fleetPerSecond: 200 }); // 2000
 * computeSharedInterval({ baseMs: 2000, nodes: 2100, fleetPerSecond: 200 }); // 10500
 */
export function computeSharedInterval(pace: ISharedIntervalOptions): number {
  return Math.max(pace.baseMs, (pace.nodes * 1000) / pace.fleetPerSecond);
}
