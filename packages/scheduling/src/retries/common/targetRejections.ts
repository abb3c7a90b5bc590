/** What the rejections of one target say about it: its own faults, and how many requests it takes at a time. */
import type {
  IHealthEvidence,
  TargetHealthEstimate,
} from '../../health/common/targetHealthEstimate.js';
import { RejectionCounts } from './rejectionCounts.js';

/** Evidence, as a logarithm of the likelihood ratio, from which rejections are a target's own fault. */
const OWN_FAULT_EVIDENCE = 8;
/** The same from which they depend on the concurrency at the target: a false limit costs little. */
const LOAD_EVIDENCE = 4;
/** A request accepted with fewer in progress explains a rejection by load for this long, in ms. */
const ACCEPTED_BELOW_MS = 1000;
/** First and longest time for which a target gets fewer requests at a time, in ms. */
const FIRST_LIMIT_MS = 1000;
const MAX_LIMIT_MS = 8000;

/** The number of requests at a target, including the one that was answered, and its slots. */
export interface IConcurrency {
  readonly inUse: number;
  readonly slots: number;
}

/**
 * Sums up the evidence of consecutive rejections of one target.
 *
 * @example
 * if (rejections.isOwnFault()) target.health.recordFailure(now);
 */
export class TargetRejections {
  readonly counts = new RejectionCounts();
  /** Estimate of the health before the rejections that alone have changed it since. */
  private healthBefore: IHealthEvidence | undefined;
  /** Estimate that the last rejection left. */
  private healthAfter: IHealthEvidence | undefined;
  private ownEvidence = 0;
  private loadEvidence = 0;
  private acceptedMs = -Infinity;
  private acceptedInUse = Infinity;
  private limitMs = FIRST_LIMIT_MS;

  recordAccepted({ inUse, slots }: IConcurrency, nowMs: number): void {
    this.counts.add(false, nowMs);
    this.healthBefore = undefined;
    this.ownEvidence = 0;
    this.acceptedMs = nowMs;
    this.acceptedInUse = inUse;
    if (inUse <= 1) return;
    this.loadEvidence = 0;
    if (inUse >= slots) this.limitMs = FIRST_LIMIT_MS;
  }

  /** Records as a failure of the target a rejection that is its own fault. */
  recordOwnFault(health: TargetHealthEstimate, nowMs: number): void {
    this.healthBefore = this.getHealthBefore(health) ?? getEstimate(health, nowMs);
    health.recordFailure(nowMs);
    this.healthAfter = health.getEvidence();
  }

  /** The estimate without the latest rejections; undefined if they changed nothing, or not they alone. */
  getHealthBefore(health: TargetHealthEstimate): IHealthEvidence | undefined {
    const evidence = health.getEvidence();
    const isUnchanged =
      evidence?.updatedMs === this.healthAfter?.updatedMs &&
      evidence?.suspicion === this.healthAfter?.suspicion;
    return isUnchanged ? this.healthBefore : undefined;
  }

  /** Records a rejection that is expected with the probability `expectedShare`. */
  recordRejected({ inUse }: IConcurrency, expectedShare: number, nowMs: number): void {
    this.counts.add(true, nowMs);
    const evidence = -Math.log(expectedShare);
    this.ownEvidence += evidence;
    if (inUse > 1) this.loadEvidence += evidence;
  }

  /** Whether so many consecutive rejections are improbable at the service's share. */
  isOwnFault(): boolean {
    return this.ownEvidence >= OWN_FAULT_EVIDENCE;
  }

  /** Whether more than one request at a time are rejected more often than the service's share explains. */
  isLimited(nowMs: number): boolean {
    return this.loadEvidence >= LOAD_EVIDENCE && nowMs - this.acceptedMs < ACCEPTED_BELOW_MS;
  }

  /** Whether the target has just accepted a request with fewer in progress. */
  hasAcceptedBelow({ inUse }: IConcurrency, nowMs: number): boolean {
    return this.acceptedInUse < inUse && nowMs - this.acceptedMs < ACCEPTED_BELOW_MS;
  }

  /** The time for which the target gets fewer requests at a time; doubled at each call, in ms. */
  takeLimitMs(): number {
    const { limitMs } = this;
    this.limitMs = Math.min(MAX_LIMIT_MS, limitMs * 2);
    this.loadEvidence /= 2;
    return limitMs;
  }

  /** Withdraws the evidence that was summed up with another share. */
  clearEvidence(): void {
    this.healthBefore = undefined;
    this.ownEvidence = 0;
    this.loadEvidence = 0;
    this.limitMs = FIRST_LIMIT_MS;
  }
}

function getEstimate(health: TargetHealthEstimate, nowMs: number): IHealthEvidence {
  return health.getEvidence() ?? { suspicion: health.getSuspicion(nowMs), updatedMs: nowMs };
}
