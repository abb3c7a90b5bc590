/** Baseline detector: suspects targets whose success rate in an interval is far below the mean. */
import type { IEvidence, ISuspicion } from './failureDetector.js';
import { Evidence } from './failureDetector.js';
import { BaselineDetector } from './baselineDetector.js';

const INTERVAL_MS = 10_000;
const MIN_REQUESTS = 100;
const MIN_TARGETS = 5;
/** Standard deviations below the mean at which a target is an outlier. */
const DEVIATIONS = 1.9;

interface ICount {
  successes: number;
  total: number;
}

/** Compares the success rates of targets over fixed intervals. */
export class SuccessRateDetector extends BaselineDetector {
  private counts = new Map<string, ICount>();
  private intervalEndMs: number | undefined;
  private minRate: number | undefined;
  private rates = new Map<string, number>();

  override setTargets(targets: readonly string[]): void {
    for (const target of this.counts.keys()) {
      if (!targets.includes(target)) this.counts.delete(target);
    }
  }

  override recordEvidence(evidence: IEvidence): ISuspicion | undefined {
    this.intervalEndMs ??= evidence.atMs + INTERVAL_MS;
    if (evidence.atMs >= this.intervalEndMs) this.closeInterval(evidence.atMs);
    const count = this.counts.get(evidence.target) ?? { successes: 0, total: 0 };
    count.total += 1;
    if (evidence.kind === Evidence.Success) count.successes += 1;
    this.counts.set(evidence.target, count);
    return this.findOutlier(evidence.target);
  }

  /** Ignored: a target that fails requests may still respond successfully on its health endpoint. */
  override recordProbe(): undefined {
    return undefined;
  }

  override reset(target: string): void {
    this.counts.delete(target);
    this.rates.delete(target);
  }

  private closeInterval(nowMs: number): void {
    this.intervalEndMs = nowMs + INTERVAL_MS;
    const measured = [...this.counts].filter(([, count]) => count.total >= MIN_REQUESTS);
    this.rates = new Map(
      measured.map(([target, { successes, total }]) => [target, successes / total]),
    );
    this.counts = new Map();
    this.minRate =
      measured.length < MIN_TARGETS ? undefined : computeMinRate([...this.rates.values()]);
  }

  private findOutlier(target: string): ISuspicion | undefined {
    const rate = this.rates.get(target);
    if (rate === undefined || this.minRate === undefined || rate >= this.minRate) return undefined;
    const reason = `success rate ${rate.toFixed(3)} below ${this.minRate.toFixed(3)}`;
    return { target, reason, failureShare: 1 - rate, isSlow: false, isPathFaultPossible: true };
  }
}

function computeMinRate(rates: readonly number[]): number {
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  const variance = rates.reduce((sum, rate) => sum + (rate - mean) ** 2, 0) / rates.length;
  return mean - DEVIATIONS * Math.sqrt(variance);
}
