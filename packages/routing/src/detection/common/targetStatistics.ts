/** Per-target state of the sequential detector. */
import { CumulativeSum } from './cumulativeSum.js';
import { QuantileTracker } from './quantileTracker.js';

/** Weight of one outcome in the moving averages over about 5 and 100 outcomes. */
const SHORT_WEIGHT = 0.2;
const LONG_WEIGHT = 0.01;
/** Quantile of the peers' latencies above which a response counts as slow. */
const SLOW_QUANTILE = 0.9;

/** Failure rates, cumulative sums and latencies of one target. */
export class TargetStatistics {
  /** Failure rate over about the last 5 outcomes. */
  shortRate = 0;
  /** Failure rate over about the last 100 outcomes. */
  longRate = 0;
  /** Share of slow responses over about the last 5 successes. */
  slowRate = 0;
  outcomes = 0;
  /** Failures that the target itself reported in a response. */
  reportedFailures = 0;
  silences = 0;
  isCold = false;
  /** True after a reset, as on ejection; the target is then not used as a reference for peers. */
  isExcluded = false;
  readonly failureSums: readonly CumulativeSum[];
  readonly slowSum = new CumulativeSum();
  private readonly latencies = new Map<string, QuantileTracker>();

  constructor(testCount: number) {
    this.failureSums = Array.from({ length: testCount }, () => new CumulativeSum());
  }

  recordOutcome(isFailure: boolean): void {
    const value = isFailure ? 1 : 0;
    this.outcomes += 1;
    this.shortRate += SHORT_WEIGHT * (value - this.shortRate);
    this.longRate += LONG_WEIGHT * (value - this.longRate);
  }

  recordSlow(isSlow: boolean): void {
    this.slowRate += SHORT_WEIGHT * ((isSlow ? 1 : 0) - this.slowRate);
  }

  recordLatency(route: string, latencyMs: number): void {
    let tracker = this.latencies.get(route);
    if (tracker === undefined) {
      tracker = new QuantileTracker(SLOW_QUANTILE);
      this.latencies.set(route, tracker);
    }
    tracker.record(latencyMs);
  }

  /** The 0.9 quantile of latencies on the route, in ms; undefined until there are enough samples. */
  getLatency(route: string): number | undefined {
    return this.latencies.get(route)?.getValue();
  }

  /** The largest of the failure sums, in nats. */
  getFailureSum(): number {
    return Math.max(...this.failureSums.map((sum) => sum.value));
  }

  /** Discards evidence against the target; latencies are kept. */
  resetEvidence(): void {
    for (const sum of this.failureSums) sum.reset();
    this.slowSum.reset();
    this.shortRate = 0;
    this.slowRate = 0;
    this.reportedFailures = 0;
    this.silences = 0;
  }
}
