/** Request and retry counts of the other homes of a service, for the limit that applies to all of them. */

/** A snapshot of one home's counts within the window. */
export interface IRetryCounts {
  /** Address and process incarnation of the home: a restarted home starts its counts at zero. */
  readonly home: string;
  /** Incremented by the home with each snapshot. */
  readonly sequence: bigint;
  /** Time of the snapshot, in ms of this node's monotonic clock. */
  readonly countedMs: number;
  /** Counts per part of the window, newest first. */
  readonly requests: readonly number[];
  readonly retries: readonly number[];
}

/** Options of {@link PeerRetryCounts}. */
export interface IPeerRetryCountsOptions {
  readonly windowMs: number;
  /** Length of one part of the window, in ms. */
  readonly partMs: number;
}

/**
 * Keeps the latest counts received for each home. Homes also forward the counts of other homes, so
 * the counts of a crashed home remain known through the home that took over from it.
 *
 * @example
 * peerCounts.record(counts);
 * const { retries } = peerCounts.count(now);
 */
export class PeerRetryCounts {
  private readonly homes = new Map<string, IRetryCounts>();

  constructor(private readonly options: IPeerRetryCountsOptions) {}

  /** Stores the counts of a home unless newer ones of the same home are known. */
  record(counts: IRetryCounts): void {
    const known = this.homes.get(counts.home);
    if (known === undefined || known.sequence < counts.sequence) {
      this.homes.set(counts.home, counts);
    }
  }

  /** Sums of the counts that lie within the window at `nowMs`. */
  count(nowMs: number): { readonly requests: number; readonly retries: number } {
    let requests = 0;
    let retries = 0;
    for (const counts of this.list(nowMs)) {
      requests += this.countInWindow(counts.requests, counts.countedMs, nowMs);
      retries += this.countInWindow(counts.retries, counts.countedMs, nowMs);
    }
    return { requests, retries };
  }

  /** Lists the counts that may still lie partly within the window, and removes all others. */
  list(nowMs: number): readonly IRetryCounts[] {
    for (const [home, { countedMs }] of this.homes) {
      if (nowMs - countedMs >= this.options.windowMs) this.homes.delete(home);
    }
    return [...this.homes.values()];
  }

  private countInWindow(parts: readonly number[], countedMs: number, nowMs: number): number {
    const { partMs, windowMs } = this.options;
    const ageMs = nowMs - countedMs;
    return parts.reduce((sum, count, part) => {
      return ageMs + part * partMs < windowMs ? sum + count : sum;
    }, 0);
  }
}
