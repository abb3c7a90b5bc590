/** How large answers of one service are, learnt for each route. */

/** Weight of one more answer in the running mean: some twenty answers make it. */
const WEIGHT = 0.05;
/** Size that is expected before any answer came, in bytes. */
const INITIAL_BYTES = 2048;
/** Routes that are told apart; further ones share one mean. */
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

  /** In bytes. */
  getMeanBytes(route: string): number {
    return this.means.get(this.toKey(route)) ?? INITIAL_BYTES;
  }

  private toKey(route: string): string {
    return this.means.has(route) || this.means.size < MAX_ROUTES ? route : '';
  }
}
