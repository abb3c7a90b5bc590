/** Schedules a node's rounds, so that the reads of the whole fleet stay within the store's rate limits. */
import type { Clock, RandomSource } from '@parsleymux/base';

const DEFAULT_POLL_MS = 2000;
/**
 * Maximum wait between rounds of a node that can't reach the store, in ms. Such a node receives
 * changes only from peers, and a lost call must not delay it by a whole poll interval, which is long
 * in a large fleet.
 */
const MAX_POLL_WITHOUT_STORE_MS = 4000;
/** Poll intervals without a response after which a node is stale. */
const STALE_ROUNDS = 3;
/** Approximate duration in ms of one round in which both the store and a peer time out. */
const MIN_STALE_LIMIT_MS = 8000;
/** Wait between rounds of a node that received a newer revision but could not fetch it yet, in ms. */
const BEHIND_DELAY_MS = 200;

/** Options of a {@link DistributionTiming}. */
export interface IDistributionTimingOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /**
   * Mean time between two reads of the head row, in ms. A function is called before each wait, so
   * that the interval can depend on the current size of the fleet. Default 2000.
   */
  readonly pollMs?: number | (() => number);
  /**
   * A newly started node reads configurations from the store at a random instant within this time,
   * in ms, unless it receives them from a peer first. Default 0.
   */
  readonly startSpreadMs?: number | (() => number);
}

/**
 * Computes the intervals of one node.
 *
 * @example
 * const timing = new DistributionTiming({ clock, random, pollMs: 2000 });
 * await clock.sleep(timing.getDelay({ isBehind: false, isStoreAvailable: true }));
 */
export class DistributionTiming {
  private storeReadDueMs: number | undefined;

  constructor(private readonly options: IDistributionTimingOptions) {}

  /**
   * True once this node may read configurations from the store. Each node starts at a random instant:
   * if all nodes read every member's configuration concurrently when the whole fleet restarts, the
   * reads would exceed the platform's limit many times over and be rejected for every node. The few
   * nodes whose turn comes first read from the store, and the others fetch from them.
   */
  isStoreReadDue(): boolean {
    const { clock, random, startSpreadMs = 0 } = this.options;
    const nowMs = clock.getMonotonicTime();
    this.storeReadDueMs ??= nowMs + random.getFloat() * resolveMs(startSpreadMs);
    return nowMs >= this.storeReadDueMs;
  }

  /** Time without a response, in ms, that the wait between rounds does not explain. */
  getStaleLimit(): number {
    const pollMs = resolveMs(this.options.pollMs ?? DEFAULT_POLL_MS);
    return Math.max(MIN_STALE_LIMIT_MS, STALE_ROUNDS * pollMs);
  }

  /** The wait until the next round, in ms. */
  getDelay(state: { readonly isBehind: boolean; readonly isStoreAvailable: boolean }): number {
    const baseMs = resolveMs(this.options.pollMs ?? DEFAULT_POLL_MS);
    const pollMs = state.isStoreAvailable ? baseMs : Math.min(baseMs, MAX_POLL_WITHOUT_STORE_MS);
    const delayMs = state.isBehind ? Math.min(BEHIND_DELAY_MS, pollMs) : pollMs;
    return this.options.random.getJittered(delayMs);
  }
}

function resolveMs(value: number | (() => number)): number {
  return typeof value === 'number' ? value : value();
}
