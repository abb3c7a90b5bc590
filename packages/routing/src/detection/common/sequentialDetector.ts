/**
 * Detection by sequential tests on real outcomes. For each target, cumulative sums weigh "it fails
 * more than its peers now do, by 5, 30 or 90 points" and "its answers are slower than its peers'"
 * against "it is like its peers". The peers' rate is a median, so a few bad peers don't hide a bad
 * target; when most peers fail alike the cause is common and the sums hardly move.
 */
import { DetectionPreference } from '@parsleymux/schema';
import type { IDetectorTraits, IEvidence, ISuspicion } from './failureDetector.js';
import { Evidence, FailureDetector } from './failureDetector.js';
import { TargetStatistics } from './targetStatistics.js';

/** Failure probabilities, above the peers', that are tested side by side. */
const EXCESS_RATES: readonly number[] = [0.05, 0.3, 0.9];
const SLOW_BASELINE = 0.1;
const SLOW_ALTERNATIVE = 0.6;
const MIN_PEERS = 2;
const MAX_PROBABILITY = 0.98;
/** A target must fail at least this many times as often as its peers do at this moment. */
const COMMON_CAUSE_FACTOR = 3;
/** Latencies bring ten times the evidence that failures do, so chance needs a higher bar. */
const SLOW_EXTRA_THRESHOLD_NATS = 3;
/** Peers' rates change slowly against one outcome; reckoning them this often is enough, in ms. */
const REFERENCE_MAX_AGE_MS = 100;
const PATH_FAULT_MAX_ERROR_SHARE = 0.5;

/**
 * What an operator's preference comes to. By Page's bound, targets like their peers are suspected
 * at most once in about e^threshold outcomes, whatever their peers' rate.
 */
export interface ISequentialOptions {
  /** Evidence in nats that is enough to suspect a target. */
  readonly threshold?: number;
  /** Failure rate below which peers are not thought to be, however few failures were seen. */
  readonly baselineRate?: number;
  /** First ejection time in ms. */
  readonly ejectionMs?: number;
  /** Time for which a suspect is left out before its peers are looked at once more, in ms. */
  readonly confirmMs?: number;
  /** Copies by which a suspect is tried in that time. */
  readonly confirmCopies?: number;
}

/** Settings for a member that fears false ejections most. */
export const CAREFUL_OPTIONS: Required<ISequentialOptions> = {
  threshold: 16,
  baselineRate: 0.002,
  ejectionMs: 10_000,
  confirmMs: 250,
  confirmCopies: 4,
};

/** Settings for a member that fears slow detection most. */
export const FAST_OPTIONS: Required<ISequentialOptions> = {
  threshold: 13,
  baselineRate: 0.002,
  ejectionMs: 10_000,
  confirmMs: 250,
  confirmCopies: 4,
};

/** The options that a preference stands for. */
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
 * Tests targets against their peers.
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

  /** Health endpoints answer for targets that fail at their work, so they are no evidence. */
  override recordProbe(): undefined {
    return undefined;
  }

  /**
   * A target that fails fast is asked more often than its peers, and shows a common cause before
   * they do; ejected on that, a healthy one is lost at the worst moment. While it is left out its
   * peers get its requests, and soon show whether they fail alike. The evidence itself must still
   * be enough after what the copies showed.
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
    if (evidence.kind === Evidence.Failure) stats.answeredFailures += 1;
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

  /** Compares once more with what peers do at this very moment, before a suspicion leaves. */
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
    const bad = stats.answeredFailures + stats.silences;
    const percent = Math.round(100 * ownRate);
    return {
      target,
      reason: `fails ${percent}% against ${Math.round(100 * peerRate)}% of peers, ${sum.toFixed(1)} nats`,
      failureShare: ownRate,
      isSlow: false,
      isPathFaultPossible: stats.answeredFailures < PATH_FAULT_MAX_ERROR_SHARE * bad,
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
