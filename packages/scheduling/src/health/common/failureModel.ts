/**
 * Models how targets of one service fail and recover; the parameters are estimated from outcomes.
 *
 * A two-state model: a target is either healthy or failing, changes its state at random times, and each
 * state has its own failure rate. A detector that waits for several failures loses each of those
 * requests. How strong the evidence of a single failure is depends on how often targets change their
 * state, so the transition rates are estimated too.
 */

/** Prior estimates, each with its weight in requests. */
const PRIOR_HEALTHY_FAILURE_RATE = 0.01;
const PRIOR_HEALTHY_REQUESTS = 200;
const PRIOR_FAILING_FAILURE_RATE = 0.75;
const PRIOR_FAILING_REQUESTS = 8;
/** Prior mean time for which a target stays healthy, in ms; outweighed within minutes of traffic. */
const PRIOR_HEALTHY_MS = 40_000;
/** Prior mean time for which a target keeps failing, in ms. */
const PRIOR_FAILING_MS = 8000;
/** Weight of the prior times, in transitions. */
const PRIOR_TRANSITIONS = 6;
/** Bounds of the estimated rates, so that a series of equal outcomes does not make the model certain. */
const MIN_HEALTHY_FAILURE_RATE = 0.002;
const MAX_HEALTHY_FAILURE_RATE = 0.1;
const MIN_FAILING_FAILURE_RATE = 0.4;
const MAX_FAILING_FAILURE_RATE = 0.95;

/** A failure rate estimated from counts. */
class EstimatedRate {
  private failures: number;

  constructor(
    rate: number,
    private requests: number,
  ) {
    this.failures = rate * requests;
  }

  get value(): number {
    return this.failures / this.requests;
  }

  record(isFailure: boolean): void {
    this.requests += 1;
    if (isFailure) this.failures += 1;
  }
}

/** A mean time until a transition, estimated from observed time and the number of transitions. */
class EstimatedDuration {
  private transitions = PRIOR_TRANSITIONS;
  private totalMs: number;

  constructor(meanMs: number) {
    this.totalMs = meanMs * PRIOR_TRANSITIONS;
  }

  get perMs(): number {
    return this.transitions / this.totalMs;
  }

  recordDuration(durationMs: number): void {
    this.totalMs += durationMs;
  }

  recordTransition(): void {
    this.transitions += 1;
  }
}

/**
 * The failure and transition rates of one service.
 *
 * @example
 * const model = new FailureModel();
 * model.recordOnset();
 */
export class FailureModel {
  private readonly healthy = new EstimatedRate(PRIOR_HEALTHY_FAILURE_RATE, PRIOR_HEALTHY_REQUESTS);
  private readonly failing = new EstimatedRate(PRIOR_FAILING_FAILURE_RATE, PRIOR_FAILING_REQUESTS);
  private readonly healthyDuration = new EstimatedDuration(PRIOR_HEALTHY_MS);
  private readonly failingDuration = new EstimatedDuration(PRIOR_FAILING_MS);

  /** Share of requests that a healthy target fails. */
  get healthyFailureRate(): number {
    return toClamped(this.healthy.value, MIN_HEALTHY_FAILURE_RATE, MAX_HEALTHY_FAILURE_RATE);
  }

  /** Share of requests that a failing target fails. */
  get failingFailureRate(): number {
    return toClamped(this.failing.value, MIN_FAILING_FAILURE_RATE, MAX_FAILING_FAILURE_RATE);
  }

  /** Transition rate from healthy to failing, per ms of healthy time. */
  get onsetPerMs(): number {
    return this.healthyDuration.perMs;
  }

  /** Transition rate from failing to healthy, per ms of failing time. */
  get recoveryPerMs(): number {
    return this.failingDuration.perMs;
  }

  /** Probability that a target without outcomes is failing. */
  get stationaryProbability(): number {
    return this.onsetPerMs / (this.onsetPerMs + this.recoveryPerMs);
  }

  /** Records an outcome of a target considered healthy, `sinceMs` after its previous outcome. */
  recordHealthy(isFailure: boolean, sinceMs: number): void {
    this.healthy.record(isFailure);
    this.healthyDuration.recordDuration(sinceMs);
  }

  /** Records an outcome of a target considered failing. */
  recordFailing(isFailure: boolean): void {
    this.failing.record(isFailure);
  }

  /** Records that a healthy target began to fail. */
  recordOnset(): void {
    this.healthyDuration.recordTransition();
  }

  /** Records that a target recovered after failing for about `durationMs`. */
  recordEpisode(durationMs: number): void {
    this.failingDuration.recordDuration(durationMs);
    this.failingDuration.recordTransition();
  }
}

function toClamped(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
