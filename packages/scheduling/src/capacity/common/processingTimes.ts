/** Distribution of the processing times of one service, for each route. */

/** Number of samples kept per route: enough for its 95th percentile. */
const MAX_SAMPLES = 64;
/** Maximum number of separate routes, seldom reached by a service; all others share one distribution. */
const MAX_ROUTES = 64;
/** Number of samples with which the initial guess is weighted. */
const GUESS_SAMPLES = 4;
/** Initial guess of the processing time, as a share of the objective. */
const INITIAL_SHARE = 0.35;

/** The latest processing times of one route, in order of arrival and sorted. */
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
 * Keeps the processing times of successful requests. Uses the empirical distribution: the share of samples
 * within a time is the estimated probability of finishing within it.
 *
 * @example
 * const times = new ProcessingTimes();
 * times.record('orders', 1000, 240);
 * times.getShareWithin('orders', 1000, 500);
 */
export class ProcessingTimes {
  private readonly byRoute = new Map<string, RecentTimes>();
  /** Samples of all routes together. */
  private serviceTimes: RecentTimes | undefined;

  /** Records a processing time; `objectiveMs` determines the initial guess for a new route. */
  record(route: string, objectiveMs: number, ms: number): void {
    this.getTimes(route, objectiveMs).record(ms);
    this.serviceTimes ??= new RecentTimes(objectiveMs * INITIAL_SHARE);
    this.serviceTimes.record(ms);
  }

  /**
   * Mean over all routes of the service, in ms: the expected processing time of the requests ahead of
   * another one. `objectiveMs` determines the initial guess.
   */
  getServiceMeanMs(objectiveMs: number): number {
    return this.serviceTimes?.meanMs ?? objectiveMs * INITIAL_SHARE;
  }

  getMeanMs(route: string, objectiveMs: number): number {
    return this.getTimes(route, objectiveMs).meanMs;
  }

  /** Probability that a request is processed within `ms`, from 0 to 1. */
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

/** Number of values of a sorted list that are at most `limit`. */
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
