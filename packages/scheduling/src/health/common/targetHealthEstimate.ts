/** Estimates the probability that one target is failing, with Bayes' rule. */
import type { FailureModel } from './failureModel.js';

/** Probability above which a target is considered failing. */
const FAILING_THRESHOLD = 0.5;
/** A longer gap between outcomes is no evidence of the target's health in the meantime, in ms. */
const MAX_OUTCOME_GAP_MS = 3000;
/** A success this long after a failure may follow a recovery, in ms. */
const POSSIBLE_RECOVERY_MS = 2000;

/** Evidence on which a health estimate is based. */
export interface IHealthEvidence {
  /** Probability of failing right after the last outcome. */
  readonly suspicion: number;
  /** Time of the last outcome, in ms of the monotonic clock. */
  readonly updatedMs: number;
}

/**
 * The health estimate of one target. Without outcomes it converges to the average of all targets.
 *
 * @example
 * const health = new TargetHealthEstimate(model, now);
 * health.recordFailure(now);
 * health.getSuspicion(now); // about 0.6 for a target that succeeded just before
 */
export class TargetHealthEstimate {
  private suspicion: number;
  /** When the last outcome was recorded, here or at another home, in ms of the monotonic clock. */
  private updatedMs: number;
  /** Whether any outcome has been recorded. */
  private hasOutcome = false;
  private episodeStartMs: number | undefined;
  /** Whether the last outcome, a failure of a target considered healthy, is classified by the next one. */
  private isUnclassified = false;
  /** Time of the last success, in ms of the monotonic clock. */
  lastSuccessMs: number | undefined;
  /** Time of the last failure, in ms of the monotonic clock. */
  lastFailureMs: number | undefined;

  constructor(
    private readonly model: FailureModel,
    nowMs: number,
  ) {
    this.suspicion = model.stationaryProbability;
    this.updatedMs = nowMs;
  }

  /** Probability that the target is failing at `nowMs`, from 0 to 1. */
  getSuspicion(nowMs: number): number {
    const { onsetPerMs, recoveryPerMs, stationaryProbability: stationary } = this.model;
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    const decay = Math.exp(-(onsetPerMs + recoveryPerMs) * elapsedMs);
    return stationary + (this.suspicion - stationary) * decay;
  }

  isFailing(nowMs: number): boolean {
    return this.getSuspicion(nowMs) > FAILING_THRESHOLD;
  }

  recordSuccess(nowMs: number): void {
    this.recordForModel(nowMs, false);
    this.update(nowMs, false);
    this.lastSuccessMs = nowMs;
    this.endEpisode(nowMs);
  }

  recordFailure(nowMs: number): void {
    this.recordForModel(nowMs, true);
    this.update(nowMs, true);
    this.lastFailureMs = nowMs;
    if (this.suspicion > FAILING_THRESHOLD) this.episodeStartMs ??= nowMs;
  }

  /** The estimate right after the last outcome; undefined if there was none. */
  getEvidence(): IHealthEvidence | undefined {
    if (!this.hasOutcome) return undefined;
    return { suspicion: this.suspicion, updatedMs: this.updatedMs };
  }

  /** Replaces the estimate with that of another home if that is newer. */
  applyEvidence({ suspicion, updatedMs }: IHealthEvidence): void {
    if (this.hasOutcome && updatedMs <= this.updatedMs) return;
    this.suspicion = suspicion;
    this.updatedMs = updatedMs;
    this.hasOutcome = true;
  }

  private endEpisode(nowMs: number): void {
    const startMs = this.episodeStartMs;
    if (startMs === undefined || this.suspicion > FAILING_THRESHOLD) return;
    this.episodeStartMs = undefined;
    // The target recovered between its last failure and now; the middle is the best estimate.
    const endMs = ((this.lastFailureMs ?? startMs) + nowMs) / 2;
    this.model.recordEpisode(endMs - startMs);
  }

  private update(nowMs: number, isFailure: boolean): void {
    const prior = this.getSuspicion(nowMs);
    const failing = getLikelihood(this.model.failingFailureRate, isFailure);
    const healthy = getLikelihood(this.model.healthyFailureRate, isFailure);
    this.suspicion = (prior * failing) / (prior * failing + (1 - prior) * healthy);
    this.updatedMs = nowMs;
    this.hasOutcome = true;
  }

  /**
   * Updates the failure model with an outcome. A single failure of a healthy target may be a random
   * failure or the onset of an episode. If the current estimate classified it, most onsets would count
   * as random failures; the healthy failure rate would grow, and each further failure would be weaker
   * evidence. Therefore the next outcome classifies it.
   */
  private recordForModel(nowMs: number, isFailure: boolean): void {
    const sinceMs = nowMs - this.updatedMs;
    if (this.isUnclassified) {
      this.isUnclassified = false;
      if (isFailure || sinceMs > POSSIBLE_RECOVERY_MS) this.recordOnset();
      else this.model.recordHealthy(true, 0);
      if (isFailure) return;
    } else if (this.isFailing(nowMs)) {
      if (sinceMs < POSSIBLE_RECOVERY_MS) this.model.recordFailing(isFailure);
      return;
    }
    if (isFailure) this.isUnclassified = true;
    else this.model.recordHealthy(false, Math.min(sinceMs, MAX_OUTCOME_GAP_MS));
  }

  private recordOnset(): void {
    this.model.recordOnset();
    this.model.recordFailing(true);
  }
}

function getLikelihood(failureRate: number, isFailure: boolean): number {
  return isFailure ? failureRate : 1 - failureRate;
}
