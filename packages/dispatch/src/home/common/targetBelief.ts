/** The probability that one target is failing, kept up to date by Bayes' rule. */
import type { FailureModel } from './failureModel.js';

/** Above this probability a target counts as ejected, for episodes and logs. */
const EJECTED_ABOVE = 0.5;

/**
 * One target's belief. Without outcomes it drifts back to what is true of any target.
 *
 * @example
 * const belief = new TargetBelief(model, now);
 * belief.recordFailure(now);
 * belief.getSuspicion(now); // about 0.6 of a target that succeeded a moment ago
 */
export class TargetBelief {
  private suspicion: number;
  private updatedMs: number;
  private episodeStartMs: number | undefined;
  /** When a request last succeeded, in ms of the monotonic clock. */
  lastSuccessMs: number | undefined;
  /** When a request last failed. */
  lastFailureMs: number | undefined;

  constructor(
    private readonly model: FailureModel,
    nowMs: number,
  ) {
    this.suspicion = model.stationary;
    this.updatedMs = nowMs;
  }

  /** Probability of failing at `nowMs`, from 0 to 1. */
  getSuspicion(nowMs: number): number {
    const { onsetPerMs, recoveryPerMs, stationary } = this.model;
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    const kept = Math.exp(-(onsetPerMs + recoveryPerMs) * elapsedMs);
    return stationary + (this.suspicion - stationary) * kept;
  }

  isEjected(nowMs: number): boolean {
    return this.getSuspicion(nowMs) > EJECTED_ABOVE;
  }

  recordSuccess(nowMs: number): void {
    this.lastSuccessMs = nowMs;
    this.update(nowMs, false);
    const startMs = this.episodeStartMs;
    if (startMs === undefined || this.suspicion > EJECTED_ABOVE) return;
    this.episodeStartMs = undefined;
    // The last failure is the last moment at which the target is known to have failed.
    const endMs = ((this.lastFailureMs ?? startMs) + nowMs) / 2;
    this.model.recordEpisode(endMs - startMs);
  }

  recordFailure(nowMs: number): void {
    this.lastFailureMs = nowMs;
    this.update(nowMs, true);
    if (this.suspicion > EJECTED_ABOVE) this.episodeStartMs ??= nowMs;
  }

  private update(nowMs: number, isFailure: boolean): void {
    const prior = this.getSuspicion(nowMs);
    const failing = this.getLikelihood(this.model.failingFailureRate, isFailure);
    const sound = this.getLikelihood(this.model.soundFailureRate, isFailure);
    this.suspicion = (prior * failing) / (prior * failing + (1 - prior) * sound);
    this.updatedMs = nowMs;
    this.model.recordOutcome(isFailure, this.suspicion);
  }

  private getLikelihood(failureRate: number, isFailure: boolean): number {
    return isFailure ? failureRate : 1 - failureRate;
  }
}
