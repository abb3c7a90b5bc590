/** Checks that all nodes together keep to the request rates that targets advertise. */
import type { INodeArrival, INodeTargetPair, INoticeViolation } from './targetNoticeChecker.js';

/** Window over which arrivals are counted, in ms. */
const WINDOW_MS = 4000;
/** A window may hold this multiple of the advertised rate, plus the extra requests below. */
const MAX_RATE_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
/** Arrivals are checked from this long after the target first advertised a limit, in ms. */
const SETTLING_MS = 3000;
/** Requests of a node count from this long after it received the limit, in ms. */
const KNOWN_AFTER_MS = 500;
const MS_PER_S = 1000;

/** One incarnation of a target while it advertises a limit. */
interface ILimitedTarget {
  firstAdvertisedMs: number;
  readonly knownSinceMs: Map<string, number>;
  arrivals: number[];
}

/**
 * Counts arrivals at targets that advertise a limit, over all nodes that have received the limit.
 *
 * @example
 * limits.recordAdvertised({ node: 'n1/1', target: 'booking-3/1', atMs });
 * const violation = limits.checkArrival(arrival, 1.5);
 */
export class AdvertisedLimitChecker {
  private readonly targets = new Map<string, ILimitedTarget>();

  /** Records that a node received a response with an advertised limit. */
  recordAdvertised({ atMs, node, target }: INodeTargetPair): void {
    const limited = this.targets.get(target) ?? {
      firstAdvertisedMs: atMs,
      knownSinceMs: new Map<string, number>(),
      arrivals: [],
    };
    this.targets.set(target, limited);
    if (!limited.knownSinceMs.has(node)) limited.knownSinceMs.set(node, atMs);
  }

  /** Returns a violation if the arrival exceeds the rate that the target advertises now. */
  checkArrival(
    { atMs, node, service, target }: INodeArrival,
    ratePerS: number | undefined,
  ): INoticeViolation | undefined {
    const limited = this.targets.get(target);
    if (limited === undefined) return undefined;
    if (ratePerS === undefined) {
      this.targets.delete(target);
      return undefined;
    }
    if (atMs < (limited.knownSinceMs.get(node) ?? Infinity) + KNOWN_AFTER_MS) return undefined;
    limited.arrivals = [
      ...limited.arrivals.filter((arrivedMs) => arrivedMs > atMs - WINDOW_MS),
      atMs,
    ];
    const allowed = (MAX_RATE_FACTOR * ratePerS * WINDOW_MS) / MS_PER_S + EXTRA_REQUESTS;
    const count = limited.arrivals.length;
    if (count <= allowed || atMs < limited.firstAdvertisedMs + SETTLING_MS) return undefined;
    const text = `${target} advertises ${ratePerS} requests/s and received ${count} in ${WINDOW_MS} ms; allowed ${Math.floor(allowed)}`;
    return { limit: 'rate', service, atMs, text };
  }
}
