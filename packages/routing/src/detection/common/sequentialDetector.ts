/**
 * Failure detection by sequential tests on the outcomes of real requests. For each target, cumulative
 * sums test the hypotheses that its failure rate exceeds that of its peers by 5, 30 or 90 percentage
 * points, and that its responses are slower than theirs, against the hypothesis that it behaves like
 * its peers. The reference is the median of the peers, so a few failing peers don't hide a failing
 * target. When most peers fail alike the cause is shared, and the sums barely grow.
 */
import { DetectionPreference } from '@parsleymux/schema';
import type { IDetectorTraits, IEvidence, ISuspicion } from './failureDetector.js';
import { Evidence, FailureDetector } from './failureDetector.js';
import { TargetStatistics } from './targetStatistics.js';

/** Failure rates in excess of the peers' rate that are tested in parallel. */
const EXCESS_RATES: readonly number[] = [0.05, 0.3, 0.9];
/** Shares of slow responses that the latency test compares: of a healthy and of a slow target. */
const SLOW_BASELINE = 0.1;
const SLOW_ALTERNATIVE = 0.6;
const MIN_PEERS = 2;
const MAX_PROBABILITY = 0.98;
/** Minimum ratio of the failure rate of a suspect to the current rate of its peers. */
const COMMON_CAUSE_FACTOR = 3;
/**
 * Added to the threshold for slowness. Latencies yield about ten times as much evidence as failures,
 * so random variation reaches a given sum more often.
 */
const SLOW_EXTRA_THRESHOLD_NATS = 3;
/** Time for which peers' rates and latency limits are cached, in ms; they change slowly between outcomes. */
const REFERENCE_MAX_AGE_MS = 100;
/** A path fault is possible while failure responses make up less than this share of all failures. */
const PATH_FAULT_MAX_ERROR_SHARE = 0.5;

/**
 * Parameters of the tests. By Page's bound, a target that behaves like its peers is suspected at most
 * once in about e^threshold outcomes, whatever the failure rate of the peers.
 */
export interface ISequentialOptions {
  /** Evidence, in nats, at which a target is suspected. */
  readonly threshold?: number;
  /** Lower bound of the estimated failure rate of peers, used when few failures were observed. */
  readonly baselineRate?: number;
  /** Initial ejection time in ms. */
  readonly ejectionMs?: number;
  /** Time in ms for which a suspect is demoted before it is compared with its peers once more. */
  readonly confirmMs?: number;
  /** Number of request copies sent to a suspect within that time. */
  readonly confirmCopies?: number;
}

/** Parameters for members that prefer to avoid false ejections. */
export const CAREFUL_OPTIONS: Required<ISequentialOptions> = {
  threshold: 16,
  baselineRate: 0.002,
  ejectionMs: 10_000,
  confirmMs: 250,
  confirmCopies: 4,
};

/** Parameters for members that prefer fast detection. */
export const FAST_OPTIONS: Required<ISequentialOptions> = {
  threshold: 13,
  baselineRate: 0.002,
  ejectionMs: 10_000,
  confirmMs: 250,
  confirmCopies: 4,
};

/** Maps an operator's detection preference to parameters. */
export function getSequentialOptions(
  preference: DetectionPreference,
): Required<ISequentialOptions> {
  return preference === DetectionPreference.FAST ? FAST_OPTIONS : CAREFUL_OPTIONS;
}

interface IReference {
  readonly atMs: number;
  readonly failureRate: number;
}

/**
 * Compares targets with their peers.
 *
 * @example
 * const detector = new SequentialDetector(getSequentialOptions(service.detection));
 * const suspicion = detector.recordEvidence({ target, route, kind: Evidence.Silence, atMs });
 */
export class SequentialDetector extends FailureDetector {
  override readonly traits: IDetectorTraits;
  private readonly threshold: number;
  private readonly baselineRate: number;
  private readonly statistics = new Map<string, TargetStatistics>();
  private readonly references = new Map<string, IReference>();
  private readonly slowLimits = new Map<string, { atMs: number; limitMs: number | undefined }>();
  private nowMs = 0;

  constructor(options: ISequentialOptions = {}) {
    super();
    this.threshold = options.threshold ?? CAREFUL_OPTIONS.threshold;
    this.baselineRate = options.baselineRate ?? CAREFUL_OPTIONS.baselineRate;
    this.traits = {
      probeIntervalMs: undefined,
      usesObserver: true,
      requiresTrial: true,
      detectsStalls: true,
      ejectionMs: options.ejectionMs ?? CAREFUL_OPTIONS.ejectionMs,
      confirmMs: options.confirmMs ?? CAREFUL_OPTIONS.confirmMs,
      confirmCopies: options.confirmCopies ?? CAREFUL_OPTIONS.confirmCopies,
    };
  }

  override setTargets(targets: readonly string[]): void {
    const configured = new Set(targets);
    for (const target of this.statistics.keys()) {
      if (!configured.has(target)) this.statistics.delete(target);
    }
    for (const target of targets) {
      if (!this.statistics.has(target))
        this.statistics.set(target, new TargetStatistics(EXCESS_RATES.length));
    }
  }

  override recordEvidence(evidence: IEvidence): ISuspicion | undefined {
    const stats = this.statistics.get(evidence.target);
    if (stats === undefined) return undefined;
    this.nowMs = evidence.atMs;
    stats.isExcluded = false;
    this.recordFailureEvidence(evidence, stats);
    if (evidence.latencyMs !== undefined)
      this.recordLatencyEvidence(evidence, evidence.latencyMs, stats);
    return this.checkTarget(evidence.target, stats);
  }

  /** Ignored: a target that fails requests may still respond successfully on its health endpoint. */
  override recordProbe(): undefined {
    return undefined;
  }

  /**
   * A target that fails quickly receives more requests than its peers and so shows a shared cause
   * before they do. Ejecting it then would remove a healthy target at the worst time. While it is
   * demoted its peers receive its requests, and their outcomes soon show whether they fail alike.
   * The evidence must also still suffice after the outcomes of the copies.
   */
  override isConfirmed(suspicion: ISuspicion): boolean {
    const peers = this.listPeers(suspicion.target);
    const rates = peers.map((peer) => (suspicion.isSlow ? peer.slowRate : peer.shortRate));
    const peerRate = computeMedian(rates) ?? 0;
    if (suspicion.failureShare < COMMON_CAUSE_FACTOR * peerRate) return false;
    const stats = this.statistics.get(suspicion.target);
    return stats !== undefined && this.hasEnoughEvidence(stats);
  }

  override reset(target: string): void {
    const stats = this.statistics.get(target);
    if (stats === undefined) return;
    stats.resetEvidence();
    stats.isExcluded = true;
  }

  override setCold(target: string, isCold: boolean): void {
    const stats = this.statistics.get(target);
    if (stats !== undefined) stats.isCold = isCold;
  }

  override getSlowLimit(route: string, target: string): number | undefined {
    const key = `${route} ${target}`;
    const cached = this.slowLimits.get(key);
    if (cached !== undefined && this.nowMs - cached.atMs < REFERENCE_MAX_AGE_MS)
      return cached.limitMs;
    const limitMs = this.computeSlowLimit(route, target);
    this.slowLimits.set(key, { atMs: this.nowMs, limitMs });
    return limitMs;
  }

  private recordFailureEvidence(evidence: IEvidence, stats: TargetStatistics): void {
    const isFailure = evidence.kind !== Evidence.Success;
    if (evidence.kind === Evidence.Failure) stats.reportedFailures += 1;
    if (evidence.kind === Evidence.Silence) stats.silences += 1;
    stats.recordOutcome(isFailure);
    const baseline = this.getReference(evidence.target).failureRate;
    stats.failureSums.forEach((sum, index) => {
      const excess = EXCESS_RATES[index] ?? 1;
      const worse = Math.max(baseline + (1 - baseline) * excess, COMMON_CAUSE_FACTOR * baseline);
      const alternative = Math.min(MAX_PROBABILITY, worse);
      sum.record(isFailure, Math.min(baseline, alternative), alternative);
    });
  }

  private recordLatencyEvidence(
    evidence: IEvidence,
    latencyMs: number,
    stats: TargetStatistics,
  ): void {
    const limitMs = this.getSlowLimit(evidence.route, evidence.target);
    stats.recordLatency(evidence.route, latencyMs);
    if (limitMs === undefined || stats.isCold) return;
    const isSlow = latencyMs > limitMs;
    stats.recordSlow(isSlow);
    stats.slowSum.record(isSlow, SLOW_BASELINE, SLOW_ALTERNATIVE);
  }

  private checkTarget(target: string, stats: TargetStatistics): ISuspicion | undefined {
    if (!this.hasEnoughEvidence(stats)) return undefined;
    const failureSum = stats.getFailureSum();
    if (failureSum >= this.threshold) return this.checkFailureRate(target, stats, failureSum);
    return this.checkSlowness(target, stats);
  }

  private hasEnoughEvidence(stats: TargetStatistics): boolean {
    if (stats.getFailureSum() >= this.threshold) return true;
    return stats.slowSum.value >= this.threshold + SLOW_EXTRA_THRESHOLD_NATS;
  }

  /** Compares the target with the current rates of its peers before it reports a suspicion. */
  private checkFailureRate(
    target: string,
    stats: TargetStatistics,
    sum: number,
  ): ISuspicion | undefined {
    const peers = this.listPeers(target);
    const peerRate = computeMedian(peers.map((peer) => peer.shortRate)) ?? 0;
    const ownRate = Math.max(stats.shortRate, stats.longRate);
    if (peers.length === 0 || ownRate < COMMON_CAUSE_FACTOR * peerRate) {
      stats.resetEvidence();
      return undefined;
    }
    const failures = stats.reportedFailures + stats.silences;
    const percent = Math.round(100 * ownRate);
    return {
      target,
      reason: `fails ${percent}% against ${Math.round(100 * peerRate)}% of peers, ${sum.toFixed(1)} nats`,
      failureShare: ownRate,
      isSlow: false,
      isPathFaultPossible: stats.reportedFailures < PATH_FAULT_MAX_ERROR_SHARE * failures,
    };
  }

  private checkSlowness(target: string, stats: TargetStatistics): ISuspicion | undefined {
    const peers = this.listPeers(target).filter((peer) => !peer.isCold);
    const peerRate = computeMedian(peers.map((peer) => peer.slowRate)) ?? 0;
    if (stats.slowRate < COMMON_CAUSE_FACTOR * peerRate) {
      stats.slowSum.reset();
      return undefined;
    }
    return {
      target,
      reason: `${Math.round(100 * stats.slowRate)}% of answers slow against ${Math.round(100 * peerRate)}% of peers`,
      failureShare: stats.slowRate,
      isSlow: true,
      isPathFaultPossible: true,
    };
  }

  private getReference(target: string): IReference {
    const cached = this.references.get(target);
    if (cached !== undefined && this.nowMs - cached.atMs < REFERENCE_MAX_AGE_MS) return cached;
    const peers = this.listPeers(target);
    const shortRate = computeMedian(peers.map((peer) => peer.shortRate)) ?? 0;
    const longRate = computeMedian(peers.map((peer) => peer.longRate)) ?? 0;
    const failureRate = Math.min(MAX_PROBABILITY, Math.max(this.baselineRate, shortRate, longRate));
    const reference = { atMs: this.nowMs, failureRate };
    this.references.set(target, reference);
    return reference;
  }

  private computeSlowLimit(route: string, target: string): number | undefined {
    const latencies: number[] = [];
    for (const peer of this.listPeers(target)) {
      const latency = peer.isCold ? undefined : peer.getLatency(route);
      if (latency !== undefined) latencies.push(latency);
    }
    return latencies.length < MIN_PEERS ? undefined : computeMedian(latencies);
  }

  private listPeers(target: string): readonly TargetStatistics[] {
    const peers: TargetStatistics[] = [];
    for (const [address, stats] of this.statistics) {
      if (address !== target && !stats.isExcluded && stats.outcomes > 0) peers.push(stats);
    }
    return peers;
  }
}

function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle];
  const lower = sorted[middle - 1];
  if (upper === undefined) return undefined;
  return sorted.length % 2 === 1 || lower === undefined ? upper : (lower + upper) / 2;
}
