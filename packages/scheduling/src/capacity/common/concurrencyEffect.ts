/** Learns how a target's latency grows with its concurrent requests. */
import { DecayedMean } from './decayedMean.js';

/** Most levels of concurrency that are told apart; more slots than these share levels. */
const MAX_LEVELS = 8;
const LEVEL = { decayMs: 10_000, maxWeight: 24 };
const PRIOR_WEIGHT = 3;
/** Work per time below the limit must exceed that with all slots by this factor. */
const MIN_GAIN = 1.2;
/** The limit is computed again after this time, in ms. */
const LIMIT_VALID_MS = 100;

/**
 * Keeps the deviation of the latency at each level, in log units. Evidence decays, so that levels above the
 * limit are tried again.
 *
 * @example
 * const effect = new ConcurrencyEffect();
 * effect.record(4, 4, Math.log(2), nowMs);
 * effect.getLimit(4, nowMs);
 */
export class ConcurrencyEffect {
  private readonly levels: DecayedMean[] = [];
  private limit = 0;
  private limitSlots = 0;
  private limitMs = -Infinity;

  record(concurrency: number, slots: number, deviation: number, nowMs: number): void {
    const level = toLevel(concurrency, slots);
    while (this.levels.length <= level) this.levels.push(new DecayedMean(LEVEL));
    this.levels[level]?.record(deviation, nowMs);
  }

  getEffect(concurrency: number, slots: number, nowMs: number): number {
    return this.levels[toLevel(concurrency, slots)]?.getMean(nowMs, PRIOR_WEIGHT) ?? 0;
  }

  /** The number of concurrent requests with the most work per time, from 1 to `slots`. */
  getLimit(slots: number, nowMs: number): number {
    if (slots !== this.limitSlots || nowMs - this.limitMs > LIMIT_VALID_MS) {
      this.limit = this.computeLimit(slots, nowMs);
      this.limitSlots = slots;
      this.limitMs = nowMs;
    }
    return this.limit;
  }

  private computeLimit(slots: number, nowMs: number): number {
    const getRate = (concurrency: number) =>
      concurrency / Math.exp(this.getEffect(concurrency, slots, nowMs));
    let best = slots;
    let bestRate = getRate(slots) * MIN_GAIN;
    for (let level = 0; level < Math.min(slots, MAX_LEVELS) - 1; level += 1) {
      const concurrency = toConcurrency(level, slots);
      const rate = getRate(concurrency);
      if (rate <= bestRate) continue;
      best = concurrency;
      bestRate = rate;
    }
    return Math.max(1, best);
  }
}

function toLevel(concurrency: number, slots: number): number {
  const last = Math.min(slots, MAX_LEVELS) - 1;
  const level = slots <= MAX_LEVELS ? concurrency - 1 : ((concurrency - 1) * MAX_LEVELS) / slots;
  return Math.max(0, Math.min(last, Math.floor(level)));
}

/** The largest concurrency of a level. */
function toConcurrency(level: number, slots: number): number {
  return slots <= MAX_LEVELS ? level + 1 : Math.floor(((level + 1) * slots) / MAX_LEVELS);
}
