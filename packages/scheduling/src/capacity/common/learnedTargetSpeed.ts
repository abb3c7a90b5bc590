/** Learns the speed of one target from the latencies of its responses and from its requests in progress. */
import { ChangeDetector } from './changeDetector.js';
import { ConcurrencyEffect } from './concurrencyEffect.js';
import { DecayedMean } from './decayedMean.js';
import type { ISpeedEvidence, ISpeedQuery, ISpeedSample } from './targetSpeed.js';
import { TargetSpeed } from './targetSpeed.js';

/** Samples of the target as a whole: few and recent, so that a change is seen within a second or two. */
const BASE = { decayMs: 4000, maxWeight: 24 };
const BASE_PRIOR_WEIGHT = 1.5;
/** Deviations of single routes: slower, because each gets a part of the samples. */
const ROUTE = { decayMs: 15_000, maxWeight: 16 };
const ROUTE_PRIOR_WEIGHT = 6;
/** Most routes with a deviation of their own. */
const MAX_ROUTES = 8;
/** Standard deviation of the learned factors of equal targets, in log units. */
const NOISE = 0.2;
/** Excess of an open request over the expected ratio that may be chance, in log units. */
const OPEN_ALLOWANCE = 0.5;
/** Excess from which an open request is evidence, in log units: about twice the expected time. */
const MIN_OPEN_EXCESS = 0.7;
/** An observation of open requests holds until the next one, in ms. */
const OPEN_VALID_MS = 250;
/** Samples are limited to factors from a 32nd to 32, in log units. */
const MAX_LOG = Math.log(32);
/** Responses needed to tell a slow target from one that hangs, decayed. */
const MIN_RESPONDED_WEIGHT = 1;

/**
 * The logarithm of a latency ratio is the sum of the target's own slowness, a deviation of the route, and the
 * effect of concurrency; each is a decayed mean, shrunk towards 0.
 *
 * @example
 * const speed = new LearnedTargetSpeed();
 * speed.record({ route: 'orders', concurrency: 1, slots: 4, logRatio: Math.log(2.5), nowMs });
 * speed.getMeanFactor(nowMs);
 */
export class LearnedTargetSpeed extends TargetSpeed {
  private readonly base = new DecayedMean(BASE);
  private readonly routes = new Map<string, DecayedMean>();
  private readonly concurrency = new ConcurrencyEffect();
  private readonly changes = new ChangeDetector();
  private openLog = -Infinity;
  private openMs = -Infinity;
  /** The latest result of {@link getMeanFactor}, for which a decision asks several times. */
  private meanFactor = 1;
  private meanFactorMs = NaN;

  override getFactor(query: ISpeedQuery): number {
    const { concurrency, nowMs, route, slots } = query;
    const effect = this.concurrency.getEffect(concurrency, slots, nowMs);
    return this.getMeanFactor(nowMs) * Math.exp(this.getDeviation(route, nowMs) + effect);
  }

  override getMeanFactor(nowMs: number): number {
    if (nowMs !== this.meanFactorMs) {
      this.meanFactor = Math.exp(this.getBase(nowMs));
      this.meanFactorMs = nowMs;
    }
    return this.meanFactor;
  }

  override getConcurrencyLimit(slots: number, nowMs: number): number {
    return this.concurrency.getLimit(slots, nowMs);
  }

  override getRespondedFactor({ nowMs, route }: ISpeedQuery): number | undefined {
    if (this.base.getWeight(nowMs) < MIN_RESPONDED_WEIGHT) return undefined;
    const base = toShrunk(this.base.getMean(nowMs, BASE_PRIOR_WEIGHT));
    return Math.exp(base + this.getDeviation(route, nowMs));
  }

  override record({ concurrency, logRatio, nowMs, route, slots }: ISpeedSample): void {
    const value = toLimited(logRatio);
    const effect = this.concurrency.getEffect(concurrency, slots, nowMs);
    const routeDeviation = this.getDeviation(route, nowMs);
    const own = value - effect - routeDeviation;
    const before = this.base.value;
    this.base.record(own, nowMs);
    const change = this.changes.record(own - before);
    if (change !== undefined) this.base.set(before + change.mean, change.samples, nowMs);
    this.meanFactorMs = NaN;
    const rest = value - this.base.value;
    this.findRoute(route)?.record(rest - effect, nowMs);
    this.concurrency.record(concurrency, slots, rest - routeDeviation, nowMs);
  }

  override recordOpen(logRatio: number, nowMs: number): void {
    this.meanFactorMs = NaN;
    this.openLog = toLimited(logRatio);
    this.openMs = nowMs;
  }

  override getWeight(nowMs: number): number {
    return this.base.getWeight(nowMs);
  }

  override getAgeMs(nowMs: number): number | undefined {
    return this.base.lastMs === -Infinity ? undefined : nowMs - this.base.lastMs;
  }

  override summarize(nowMs: number): ISpeedEvidence | undefined {
    const ageMs = this.getAgeMs(nowMs);
    if (ageMs === undefined) return undefined;
    return { logFactor: this.base.value, weight: this.base.getWeight(nowMs), ageMs };
  }

  override apply({ ageMs, logFactor, weight }: ISpeedEvidence, nowMs: number): void {
    const isValid = [ageMs, logFactor, weight].every(Number.isFinite) && ageMs >= 0 && weight > 0;
    if (!isValid || nowMs - ageMs <= this.base.lastMs) return;
    const weightThen = Math.min(BASE.maxWeight, weight) * Math.exp(ageMs / BASE.decayMs);
    this.base.set(toLimited(logFactor), weightThen, nowMs - ageMs);
    this.meanFactorMs = NaN;
  }

  private getBase(nowMs: number): number {
    const base = toShrunk(this.base.getMean(nowMs, BASE_PRIOR_WEIGHT));
    if (nowMs - this.openMs > OPEN_VALID_MS) return base;
    const excess = this.openLog - base;
    return excess < MIN_OPEN_EXCESS ? base : base + excess - OPEN_ALLOWANCE;
  }

  private getDeviation(route: string, nowMs: number): number {
    return this.routes.get(route)?.getMean(nowMs, ROUTE_PRIOR_WEIGHT) ?? 0;
  }

  private findRoute(route: string): DecayedMean | undefined {
    let mean = this.routes.get(route);
    if (mean === undefined && this.routes.size < MAX_ROUTES) {
      mean = new DecayedMean(ROUTE);
      this.routes.set(route, mean);
    }
    return mean;
  }
}

/** Shrinks factors that are as small as those which chance gives to equal targets; larger ones hardly. */
function toShrunk(log: number): number {
  return (log * log * log) / (log * log + NOISE * NOISE);
}

function toLimited(log: number): number {
  return Math.min(MAX_LOG, Math.max(-MAX_LOG, log));
}
