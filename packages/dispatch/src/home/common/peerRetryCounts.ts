/** What other homes of a service counted, for the limits that hold over all of them. */

/** One home's counts within the window, as of one moment. */
export interface IRetryCounts {
  /** Address of the home and the start of its process: a restarted one counts anew. */
  readonly home: string;
  /** Grows with each time that the home counts. */
  readonly sequence: bigint;
  /** When the home counted, in ms of this node's monotonic clock. */
  readonly countedMs: number;
  /** By part of the window, newest first. */
  readonly requests: readonly number[];
  readonly retries: readonly number[];
}

/** Options of an {@link PeerRetryCounts}. */
export interface IPeerRetryCountsOptions {
  readonly windowMs: number;
  /** Length of one part of the window, in ms. */
  readonly partMs: number;
}

/**
 * Keeps the newest counts of each home that this one was told of, also by a third one: the home
 * that took over from a lost one passes its counts on, so they outlive it.
 *
 * @example
 * others.take(counts);
 * const { retries } = others.count(now);
 */
export class PeerRetryCounts {
  private readonly homes = new Map<string, IRetryCounts>();

  constructor(private readonly options: IPeerRetryCountsOptions) {}

  /** Takes what a home counted, unless something newer of the same home is known. */
  take(counts: IRetryCounts): void {
    const known = this.homes.get(counts.home);
    if (known === undefined || known.sequence < counts.sequence) {
      this.homes.set(counts.home, counts);
    }
  }

  /** What lies within the window at `nowMs`. */
  count(nowMs: number): { readonly requests: number; readonly retries: number } {
    let requests = 0;
    let retries = 0;
    for (const counts of this.list(nowMs)) {
      requests += this.countInWindow(counts.requests, counts.countedMs, nowMs);
      retries += this.countInWindow(counts.retries, counts.countedMs, nowMs);
    }
    return { requests, retries };
  }

  /** Counts of which something may lie within the window still; forgets the others. */
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
