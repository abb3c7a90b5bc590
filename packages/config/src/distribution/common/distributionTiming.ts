/** When a node asks the store and its peers, so that the whole fleet keeps to the store's rates. */
import type { Clock, RandomSource } from '@parsleymux/base';

const DEFAULT_POLL_MS = 2000;
/**
 * Longest pause of a node that can't reach the store, in ms. It hears of changes from peers only, and
 * a call that is lost must not cost it another whole interval of a large fleet.
 */
const MAX_POLL_WITHOUT_STORE_MS = 4000;
/** Rounds without word after which a node counts as stale. */
const STALE_ROUNDS = 3;
/** One round in which store and a peer stay silent takes about this long. */
const MIN_STALE_LIMIT_MS = 8000;
/** Pause of a node that heard of a newer revision and could not fetch it yet. */
const BEHIND_DELAY_MS = 200;

/** Options of a {@link DistributionTiming}. */
export interface IDistributionTimingOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /**
   * Mean time between two reads of the head row, in ms. A function is asked before each wait, so
   * that the interval can follow the size of the fleet. Default 2000.
   */
  readonly pollMs?: number | (() => number);
  /**
   * A fresh node reads configurations from the store at a random instant within this time, in ms,
   * unless a peer gave them before. Default 0.
   */
  readonly startSpreadMs?: number | (() => number);
}

/**
 * Intervals of one node.
 *
 * @example
 * const pace = new DistributionPace({ clock, random, pollMs: 2000 });
 * await clock.sleep(pace.getDelay({ isBehind: false, hasStore: true }));
 */
export class DistributionTiming {
  private storeReadDueMs: number | undefined;

  constructor(private readonly options: IDistributionTimingOptions) {}

  /**
   * When a whole fleet restarts, each node would read every member's configuration at once, seen
   * as many times the reads that the platform serves, and as refused reads of everyone. The few
   * whose turn comes first read, and the others get it from them.
   */
  isStoreReadDue(): boolean {
    const { clock, random, startSpreadMs = 0 } = this.options;
    const nowMs = clock.getMonotonicTime();
    this.storeReadDueMs ??= nowMs + random.getFloat() * resolveMs(startSpreadMs);
    return nowMs >= this.storeReadDueMs;
  }

  /** Silence of store and peers that is not explained by the wait between rounds, in ms. */
  getStaleLimit(): number {
    const pollMs = resolveMs(this.options.pollMs ?? DEFAULT_POLL_MS);
    return Math.max(MIN_STALE_LIMIT_MS, STALE_ROUNDS * pollMs);
  }

  /** The wait until the next round, in ms. */
  getDelay(state: { readonly isBehind: boolean; readonly hasStore: boolean }): number {
    const wantedMs = resolveMs(this.options.pollMs ?? DEFAULT_POLL_MS);
    const pollMs = state.hasStore ? wantedMs : Math.min(wantedMs, MAX_POLL_WITHOUT_STORE_MS);
    const delayMs = state.isBehind ? Math.min(BEHIND_DELAY_MS, pollMs) : pollMs;
    return this.options.random.getJittered(delayMs);
  }
}

function resolveMs(given: number | (() => number)): number {
  return typeof given === 'number' ? given : given();
}
