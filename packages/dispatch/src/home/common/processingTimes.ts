/** How long the targets of one service work on a request, learnt for each route. */

/** Answers that are remembered for a route: enough for its 95th percentile. */
const MAX_SAMPLES = 64;
/** Routes that are told apart; further ones share one memory. A service seldom has so many. */
const MAX_ROUTES = 64;
/** With fewer answers than this, the guess below counts as several of them. */
const GUESS_SAMPLES = 4;
/** Share of its objective that a request is expected to take before anything was measured. */
const INITIAL_SHARE = 0.35;

/** The last work times of one route, kept sorted besides. */
class RecentTimes {
  private readonly ring: number[] = [];
  private readonly sorted: number[] = [];
  private next = 0;
  private sum = 0;

  constructor(guessMs: number) {
    for (let index = 0; index < GUESS_SAMPLES; index += 1) this.record(guessMs);
  }

  get meanMs(): number {
    return this.sum / this.ring.length;
  }

  record(ms: number): void {
    const old = this.ring[this.next];
    if (old !== undefined) {
      this.sorted.splice(this.sorted.indexOf(old), 1);
      this.sum -= old;
    }
    this.ring[this.next] = ms;
    this.next = (this.next + 1) % MAX_SAMPLES;
    this.sum += ms;
    this.sorted.splice(countUpTo(this.sorted, ms), 0, ms);
  }

  getShareWithin(ms: number): number {
    return countUpTo(this.sorted, ms) / this.sorted.length;
  }
}

/**
 * Remembers what sound targets took. No shape of distribution is assumed: the share of remembered
 * answers that came within a time stands for the probability of it.
 *
 * @example
 * const times = new WorkTimes();
 * times.record('orders', 1000, 240);
 * times.getShareWithin('orders', 1000, 500);
 */
export class ProcessingTimes {
  private readonly byRoute = new Map<string, RecentTimes>();
  /** Of all routes together: what a slot is busy with as a rule. */
  private serviceTimes: RecentTimes | undefined;

  /** An answer took `ms`; `objectiveMs` gives the guess for a route that is new. */
  record(route: string, objectiveMs: number, ms: number): void {
    this.getTimes(route, objectiveMs).record(ms);
    this.serviceTimes ??= new RecentTimes(objectiveMs * INITIAL_SHARE);
    this.serviceTimes.record(ms);
  }

  /**
   * Mean over all routes of the service, in ms: how long those take that are ahead of a request.
   * `objectiveMs` gives the guess before anything was measured.
   */
  getServiceMeanMs(objectiveMs: number): number {
    return this.serviceTimes?.meanMs ?? objectiveMs * INITIAL_SHARE;
  }

  getMeanMs(route: string, objectiveMs: number): number {
    return this.getTimes(route, objectiveMs).meanMs;
  }

  /** Probability that the work on a request is done within `ms`, from 0 to 1. */
  getShareWithin(route: string, objectiveMs: number, ms: number): number {
    return ms <= 0 ? 0 : this.getTimes(route, objectiveMs).getShareWithin(ms);
  }

  private getTimes(route: string, objectiveMs: number): RecentTimes {
    const key = this.byRoute.has(route) || this.byRoute.size < MAX_ROUTES ? route : '';
    let times = this.byRoute.get(key);
    if (times === undefined) {
      times = new RecentTimes(objectiveMs * INITIAL_SHARE);
      this.byRoute.set(key, times);
    }
    return times;
  }
}

/** Values of a sorted list that are at most `limit`. */
function countUpTo(sorted: readonly number[], limit: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sorted[middle] ?? Infinity) <= limit) low = middle + 1;
    else high = middle;
  }
  return low;
}
