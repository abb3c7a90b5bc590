/** Whether targets that name a limit get no more, over all nodes that passed the limit on. */
import type { INodeArrival, INodeTargetPair, INoticeViolation } from './targetNoticeChecker.js';

/** Arrivals are counted over this time, in ms. */
const WINDOW_MS = 4000;
/** Times the limit that may arrive in a window, and requests besides. */
const MAX_RATE_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
/** A target is judged from this long after it first named its limit, in ms. */
const SETTLING_MS = 3000;
/** Requests of a node count from this long after it passed the limit on, in ms. */
const KNOWN_AFTER_MS = 500;
const MS_PER_S = 1000;

/** One life of a target, while it names a limit. */
interface ILimitedTarget {
  firstAdvertisedMs: number;
  readonly knownSinceMs: Map<string, number>;
  arrivals: number[];
}

/**
 * @example
 * limits.recordNamed({ node: 'n1/1', target: 'booking-3/1', atMs });
 * const violation = limits.checkArrival(arrival, 1.5);
 */
export class AdvertisedLimitChecker {
  private readonly targets = new Map<string, ILimitedTarget>();

  /** A node got an answer that names a limit. */
  recordAdvertised({ atMs, node, target }: INodeTargetPair): void {
    const limited = this.targets.get(target) ?? {
      firstAdvertisedMs: atMs,
      knownSinceMs: new Map<string, number>(),
      arrivals: [],
    };
    this.targets.set(target, limited);
    if (!limited.knownSinceMs.has(node)) limited.knownSinceMs.set(node, atMs);
  }

  /** The violation that an arrival is; `ratePerS` is what the target takes at that moment. */
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
    limited.arrivals = [...limited.arrivals.filter((one) => one > atMs - WINDOW_MS), atMs];
    const allowed = (MAX_RATE_FACTOR * ratePerS * WINDOW_MS) / MS_PER_S + EXTRA_REQUESTS;
    const count = limited.arrivals.length;
    if (count <= allowed || atMs < limited.firstAdvertisedMs + SETTLING_MS) return undefined;
    const text = `${target} takes ${ratePerS} a second and got ${count} in ${WINDOW_MS} ms; allowed ${Math.floor(allowed)}`;
    return { limit: 'rate', service, atMs, text };
  }
}
