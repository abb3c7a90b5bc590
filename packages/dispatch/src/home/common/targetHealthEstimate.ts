/** The probability that one target is failing, kept up to date by Bayes' rule. */
import type { FailureModel } from './failureModel.js';

/** Above this probability a target counts as failing, for episodes and estimates. */
const FAILING_THRESHOLD = 0.5;
/** Outcomes further apart than this tell nothing of what the target did between, in ms. */
const MAX_OUTCOME_GAP_MS = 3000;
/** A target that succeeds this long after a failure may have recovered meanwhile, in ms. */
const POSSIBLE_RECOVERY_MS = 2000;

/** What a health rests on. */
export interface IHealthEvidence {
  /** Probability of failing right after the last outcome. */
  readonly suspicion: number;
  readonly updatedMs: number;
}

/**
 * One target's health. Without outcomes it drifts back to what is true of any target.
 *
 * @example
 * const health = new TargetBelief(model, now);
 * health.recordFailure(now);
 * health.getSuspicion(now); // about 0.6 of a target that succeeded a moment ago
 */
export class TargetHealthEstimate {
  private suspicion: number;
  /** When the last outcome came, here or at another home, in ms of the monotonic clock. */
  private updatedMs: number;
  /** Whether any outcome is known. */
  private hasOutcome = false;
  private episodeStartMs: number | undefined;
  /** The last outcome was a failure of a target taken for sound: the next one tells what it was. */
  private isUnexplained = false;
  /** When a request last succeeded, in ms of the monotonic clock. */
  lastSuccessMs: number | undefined;
  /** When a request last failed. */
  lastFailureMs: number | undefined;

  constructor(
    private readonly model: FailureModel,
    nowMs: number,
  ) {
    this.suspicion = model.stationaryProbability;
    this.updatedMs = nowMs;
  }

  /** Probability of failing at `nowMs`, from 0 to 1. */
  getSuspicion(nowMs: number): number {
    const { onsetPerMs, recoveryPerMs, stationaryProbability: stationary } = this.model;
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    const kept = Math.exp(-(onsetPerMs + recoveryPerMs) * elapsedMs);
    return stationary + (this.suspicion - stationary) * kept;
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

  /** The health right after the last outcome; undefined when there was none. */
  getEvidence(): IHealthEvidence | undefined {
    if (!this.hasOutcome) return undefined;
    return { suspicion: this.suspicion, updatedMs: this.updatedMs };
  }

  /** Takes what another home knows, if that is newer. */
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
    // The last failure is the last moment at which the target is known to have failed.
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
   * Sorts an outcome into the estimates. A single failure of a sound target may be chance or the
   * begin of an episode; sorted by the health of the moment, chance would get most of both, its
   * estimate would grow, and each further failure would say less. So the next outcome decides.
   */
  private recordForModel(nowMs: number, isFailure: boolean): void {
    const sinceMs = nowMs - this.updatedMs;
    if (this.isUnexplained) {
      this.isUnexplained = false;
      if (isFailure || sinceMs > POSSIBLE_RECOVERY_MS) this.recordOnset();
      else this.model.recordHealthy(true, 0);
      if (isFailure) return;
    } else if (this.isFailing(nowMs)) {
      if (sinceMs < POSSIBLE_RECOVERY_MS) this.model.recordFailing(isFailure);
      return;
    }
    if (isFailure) this.isUnexplained = true;
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
