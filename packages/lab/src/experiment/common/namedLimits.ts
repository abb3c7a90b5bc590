/** Whether targets that name a limit get no more, over all nodes that passed the limit on. */
import type { INodeArrival, IToldPair, IToldViolation } from './toldLimits.js';

/** Arrivals are counted over this time, in ms. */
const WINDOW_MS = 4000;
/** Times the limit that may arrive in a window, and requests besides. */
const MOST_EXCESS = 1.5;
const MOST_BESIDES = 5;
/** A target is judged from this long after it first named its limit, in ms. */
const SETTLED_MS = 3000;
/** Requests of a node count from this long after it passed the limit on, in ms. */
const KNOWN_AFTER_MS = 500;
const MS_PER_S = 1000;

/** One life of a target, while it names a limit. */
interface ILimitedTarget {
  firstNamedMs: number;
  readonly knownMs: Map<string, number>;
  arrivals: number[];
}

/**
 * @example
 * limits.recordNamed({ node: 'n1/1', target: 'booking-3/1', atMs });
 * const violation = limits.checkArrival(arrival, 1.5);
 */
export class NamedLimits {
  private readonly targets = new Map<string, ILimitedTarget>();

  /** A node got an answer that names a limit. */
  recordNamed({ atMs, node, target }: IToldPair): void {
    const limited = this.targets.get(target) ?? {
      firstNamedMs: atMs,
      knownMs: new Map<string, number>(),
      arrivals: [],
    };
    this.targets.set(target, limited);
    if (!limited.knownMs.has(node)) limited.knownMs.set(node, atMs);
  }

  /** The violation that an arrival is; `ratePerS` is what the target takes at that moment. */
  checkArrival(
    { atMs, node, service, target }: INodeArrival,
    ratePerS: number | undefined,
  ): IToldViolation | undefined {
    const limited = this.targets.get(target);
    if (limited === undefined) return undefined;
    if (ratePerS === undefined) {
      this.targets.delete(target);
      return undefined;
    }
    if (atMs < (limited.knownMs.get(node) ?? Infinity) + KNOWN_AFTER_MS) return undefined;
    limited.arrivals = [...limited.arrivals.filter((one) => one > atMs - WINDOW_MS), atMs];
    const allowed = (MOST_EXCESS * ratePerS * WINDOW_MS) / MS_PER_S + MOST_BESIDES;
    const count = limited.arrivals.length;
    if (count <= allowed || atMs < limited.firstNamedMs + SETTLED_MS) return undefined;
    const text = `${target} takes ${ratePerS} a second and got ${count} in ${WINDOW_MS} ms; allowed ${Math.floor(allowed)}`;
    return { limit: 'rate', service, atMs, text };
  }
}
