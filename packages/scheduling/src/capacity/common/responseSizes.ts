/** Estimates the mean response size of each route of one service. */

/** Weight of a new response in the exponential moving average, which spans some twenty responses. */
const WEIGHT = 0.05;
/** Expected size before the first response, in bytes. */
const INITIAL_BYTES = 2048;
/** Maximum number of separate routes; all others share one mean. */
const MAX_ROUTES = 64;

/**
 * @example
 * sizes.record('orders', 1500);
 * sizes.getMeanBytes('orders');
 */
export class ResponseSizes {
  private readonly means = new Map<string, number>();

  record(route: string, bytes: number): void {
    const key = this.toKey(route);
    const mean = this.means.get(key);
    this.means.set(key, mean === undefined ? bytes : mean + WEIGHT * (bytes - mean));
  }

  /** Mean size of the responses of a route, in bytes. */
  getMeanBytes(route: string): number {
    return this.means.get(this.toKey(route)) ?? INITIAL_BYTES;
  }

  private toKey(route: string): string {
    return this.means.has(route) || this.means.size < MAX_ROUTES ? route : '';
  }
}
