/**
 * How targets of one service come to fail and recover, learnt from the fleet's own outcomes.
 *
 * A target is either sound or failing. It turns from one to the other at random moments, and each
 * state has its own share of failed requests. A detector that waits for several failures loses
 * each of them; how much one failure says depends on how often targets turn, so that is learnt.
 */

/** Starting values, until outcomes outweigh them. */
const PRIOR_HEALTHY_FAILURE_RATE = 0.01;
const PRIOR_HEALTHY_REQUESTS = 200;
const PRIOR_FAILING_FAILURE_RATE = 0.75;
const PRIOR_FAILING_REQUESTS = 8;
/** Mean time for which a target stays sound, in ms: a guess that some minutes of traffic replace. */
const PRIOR_HEALTHY_MS = 40_000;
/** Mean time for which a target keeps failing, in ms: a guess like the one above. */
const PRIOR_FAILING_MS = 8000;
/** Turns that the guesses of times count for. */
const PRIOR_TRANSITIONS = 6;
/** Estimates stay inside these bounds, so that no run of luck makes the model certain. */
const MIN_HEALTHY_FAILURE_RATE = 0.002;
const MAX_HEALTHY_FAILURE_RATE = 0.1;
const MIN_FAILING_FAILURE_RATE = 0.4;
const MAX_FAILING_FAILURE_RATE = 0.95;

/** A share that is estimated by counting. */
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

/** A mean time until something happens, estimated from the times seen and how often it happened. */
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
 * Rates of one service.
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

  /** Share of requests that a sound target fails. */
  get healthyFailureRate(): number {
    return toClamped(this.healthy.value, MIN_HEALTHY_FAILURE_RATE, MAX_HEALTHY_FAILURE_RATE);
  }

  /** Share of requests that a failing target fails. */
  get failingFailureRate(): number {
    return toClamped(this.failing.value, MIN_FAILING_FAILURE_RATE, MAX_FAILING_FAILURE_RATE);
  }

  /** Turns from sound to failing, per ms of a sound target. */
  get onsetPerMs(): number {
    return this.healthyDuration.perMs;
  }

  /** Turns from failing to sound, per ms of a failing target. */
  get recoveryPerMs(): number {
    return this.failingDuration.perMs;
  }

  /** Probability that a target of which nothing is known is failing. */
  get stationaryProbability(): number {
    return this.onsetPerMs / (this.onsetPerMs + this.recoveryPerMs);
  }

  /** A target that is taken for sound answered; `sinceMs` after its last answer. */
  recordHealthy(isFailure: boolean, sinceMs: number): void {
    this.healthy.record(isFailure);
    this.healthyDuration.recordDuration(sinceMs);
  }

  /** A target that is taken for failing answered. */
  recordFailing(isFailure: boolean): void {
    this.failing.record(isFailure);
  }

  /** A sound target began to fail. */
  recordOnset(): void {
    this.healthyDuration.recordTransition();
  }

  /** A target failed for about `durationMs` and then succeeded again. */
  recordEpisode(durationMs: number): void {
    this.failingDuration.recordDuration(durationMs);
    this.failingDuration.recordTransition();
  }
}

function toClamped(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
