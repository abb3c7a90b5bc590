/** What the sequential detector keeps of one target. */
import { CumulativeSum } from './cumulativeSum.js';
import { QuantileTracker } from './quantileTracker.js';

const SHORT_WEIGHT = 0.2;
const LONG_WEIGHT = 0.01;
/** Quantile of a peer's latencies above which an answer counts as slow. */
const SLOW_QUANTILE = 0.9;

/** Rates and sums of one target. */
export class TargetStatistics {
  /** Failures among the last handful of outcomes. */
  shortRate = 0;
  /** Failures among the last hundred or so. */
  longRate = 0;
  slowRate = 0;
  outcomes = 0;
  /** Of the bad outcomes, how many the target answered itself. */
  answeredFailures = 0;
  silences = 0;
  isCold = false;
  /** Ejected: no reference for others. */
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

  /** The latency that nine in ten answers on the route stay under; undefined without enough. */
  getLatency(route: string): number | undefined {
    return this.latencies.get(route)?.getValue();
  }

  /** Evidence of failing, by the test that has most of it, in nats. */
  getFailureSum(): number {
    return Math.max(...this.failureSums.map((sum) => sum.value));
  }

  /** Forgets evidence against the target, and keeps what its latencies were. */
  resetEvidence(): void {
    for (const sum of this.failureSums) sum.reset();
    this.slowSum.reset();
    this.shortRate = 0;
    this.slowRate = 0;
    this.answeredFailures = 0;
    this.silences = 0;
  }
}
