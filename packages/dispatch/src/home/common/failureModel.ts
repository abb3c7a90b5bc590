/**
 * How targets of one service come to fail and recover, learnt from the fleet's own outcomes.
 *
 * A target is either sound or failing. It turns from one to the other at random moments, and each
 * state has its own share of failed requests. A detector that waits for several failures loses
 * each of them; how much one failure says depends on how often targets turn, so that is learnt.
 */

/** Starting values; each counts as much as `PRIOR_OBSERVATIONS` observations. */
const PRIOR_SOUND_FAILURE_RATE = 0.01;
const PRIOR_FAILING_FAILURE_RATE = 0.7;
/** Mean time for which a target stays sound, in ms. A guess that a few minutes of traffic replace. */
const PRIOR_SOUND_MS = 25_000;
/** Mean time for which a target keeps failing, in ms. A guess, like the one above. */
const PRIOR_FAILING_MS = 8000;
const PRIOR_OBSERVATIONS = 6;
/** Estimates stay inside these bounds, so that no run of luck makes the model certain. */
const MIN_RATE = 0.002;
const MAX_SOUND_FAILURE_RATE = 0.2;
const MIN_FAILING_FAILURE_RATE = 0.4;
const MAX_FAILING_FAILURE_RATE = 0.95;

/**
 * Rates of one service.
 *
 * @example
 * const model = new FailureModel();
 * model.recordEpisode(6000);
 */
export class FailureModel {
  private soundFailures = PRIOR_SOUND_FAILURE_RATE * 100;
  private soundRequests = 100;
  private failingFailures = PRIOR_FAILING_FAILURE_RATE * PRIOR_OBSERVATIONS;
  private failingRequests = PRIOR_OBSERVATIONS;
  private failingMs = PRIOR_FAILING_MS * PRIOR_OBSERVATIONS;
  private episodes = PRIOR_OBSERVATIONS;

  /** Share of requests that a sound target fails. */
  get soundFailureRate(): number {
    return toBounded(this.soundFailures / this.soundRequests, MIN_RATE, MAX_SOUND_FAILURE_RATE);
  }

  /** Share of requests that a failing target fails. */
  get failingFailureRate(): number {
    const rate = this.failingFailures / this.failingRequests;
    return toBounded(rate, MIN_FAILING_FAILURE_RATE, MAX_FAILING_FAILURE_RATE);
  }

  /** Turns from sound to failing, per ms of a sound target. */
  get onsetPerMs(): number {
    return 1 / PRIOR_SOUND_MS;
  }

  /** Turns from failing to sound, per ms of a failing target. */
  get recoveryPerMs(): number {
    return this.episodes / this.failingMs;
  }

  /** Probability that a target of which nothing is known is failing. */
  get stationary(): number {
    return this.onsetPerMs / (this.onsetPerMs + this.recoveryPerMs);
  }

  /** An outcome of a target whose probability of failing was `suspicion` after the outcome. */
  recordOutcome(isFailure: boolean, suspicion: number): void {
    const failure = isFailure ? 1 : 0;
    this.failingFailures += failure * suspicion;
    this.failingRequests += suspicion;
    this.soundFailures += failure * (1 - suspicion);
    this.soundRequests += 1 - suspicion;
  }

  /** A target failed for about `durationMs` and then succeeded again. */
  recordEpisode(durationMs: number): void {
    this.failingMs += durationMs;
    this.episodes += 1;
  }
}

function toBounded(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
