/** The speeds of one service's targets, and the processing times of its routes at a target of average speed. */
import type { Clock, Logger } from '@parsleymux/base';
import type { IGrantRequest } from '../../grants/common/grant.js';
import { DecayedMean } from './decayedMean.js';
import { ProcessingTimes } from './processingTimes.js';
import type { ISpeedQuery } from './targetSpeed.js';
import type { TargetState } from './targetState.js';

/** The average over all samples of the service: slower than the processing times, which are kept relative to it. */
const SERVICE = { decayMs: 20_000, maxWeight: 400 };
const SERVICE_PRIOR_WEIGHT = 4;
/** A request at a slow target is overdue after this multiple of its learned time. */
const OVERDUE_FACTOR = 2;
/** Factors at which a target is logged as slow, and as recovered. */
const SLOW_FACTOR = 1.8;
const RECOVERED_FACTOR = 1.3;
/** Shortest time between two log lines of a target, in ms. */
const LOG_INTERVAL_MS = 1000;
/** Factors of targets are limited to this, in either direction. */
const MAX_FACTOR = 32;
const PLACES = 100;

/** Options of {@link ServiceSpeeds}. */
export interface IServiceSpeedsOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A granted request. */
export interface ISpeedTicket {
  readonly request: IGrantRequest;
  readonly target: TargetState | undefined;
  readonly grantedMs: number;
  /** Requests at the target right after the grant. */
  readonly concurrency: number;
}

/** What was logged last of a target. */
interface ILoggedStatus {
  readonly isSlow: boolean;
  readonly atMs: number;
}

/**
 * Factors are relative to the average of the recent samples, so that a service whose targets all become slow has
 * longer processing times rather than slow targets.
 *
 * @example
 * speeds.record(ticket, target, latencyMs);
 * speeds.getFactor(target, request.route, nowMs);
 */
export class ServiceSpeeds {
  /** Processing times divided by the factors of their targets. */
  readonly workTimes = new ProcessingTimes();
  private readonly average = new DecayedMean(SERVICE);
  /** The latest average factor, for which a decision asks once for each target. */
  private averageFactor = 1;
  private averageMs = NaN;
  private readonly logged = new WeakMap<TargetState, ILoggedStatus>();

  constructor(private readonly options: IServiceSpeedsOptions) {}

  /** Slowness factor of one more request at `target`. */
  getFactor(target: TargetState, route: string, nowMs: number): number {
    if (target.speed === undefined) return 1;
    const query = makeQuery(target, route, target.inUse + 1, nowMs);
    return this.toRelative(target.speed.getFactor(query), nowMs);
  }

  /** Slowness factor of `target` over all routes. */
  getMeanFactor(target: TargetState, nowMs: number): number {
    if (target.speed === undefined) return 1;
    return this.toRelative(target.speed.getMeanFactor(nowMs), nowMs);
  }

  /** Records a response. One of a target that was cold tells nothing of its later speed. */
  record(ticket: ISpeedTicket, target: TargetState, latencyMs: number): void {
    const { speed } = target;
    if (speed === undefined || latencyMs <= 0) return;
    const { objectiveMs, route } = ticket.request;
    const nowMs = this.options.clock.getMonotonicTime();
    if (target.isCold(ticket.grantedMs)) {
      this.workTimes.record(route, objectiveMs, latencyMs);
      return;
    }
    const logRatio = Math.log(latencyMs / this.workTimes.getMeanMs(route, objectiveMs));
    const query = makeQuery(target, route, ticket.concurrency, nowMs);
    speed.record({ ...query, logRatio });
    const factor = speed.getFactor(query);
    this.average.record(Math.log(factor), nowMs);
    this.averageMs = NaN;
    this.workTimes.record(route, objectiveMs, latencyMs / this.toRelative(factor, nowMs));
    this.logChange(target, nowMs);
  }

  /** Takes the age of requests in progress as evidence; each costs the same, whatever the number of targets. */
  recordOpen(tickets: Iterable<ISpeedTicket>, nowMs: number): void {
    const oldest = new Map<TargetState, number>();
    for (const { grantedMs, request, target } of tickets) {
      if (target?.speed === undefined || target.isCold(grantedMs)) continue;
      const expectedMs = this.workTimes.getMeanMs(request.route, request.objectiveMs);
      const ratio = (nowMs - grantedMs) / expectedMs;
      if (ratio > (oldest.get(target) ?? 1)) oldest.set(target, ratio);
    }
    for (const [target, ratio] of oldest) {
      target.speed?.recordOpen(Math.log(ratio), nowMs);
      this.logChange(target, nowMs);
    }
  }

  /** Whether an open request is within the time that responses of its slow target have shown. */
  isExpected({ concurrency, grantedMs, request, target }: ISpeedTicket, nowMs: number): boolean {
    if (target?.speed === undefined) return false;
    const query = makeQuery(target, request.route, concurrency, nowMs);
    const factor = this.toRelative(target.speed.getRespondedFactor(query) ?? 0, nowMs);
    if (factor < SLOW_FACTOR) return false;
    const workMs = this.workTimes.getMeanMs(request.route, request.objectiveMs);
    return nowMs - grantedMs < OVERDUE_FACTOR * factor * workMs;
  }

  private toRelative(factor: number, nowMs: number): number {
    if (nowMs !== this.averageMs) {
      this.averageFactor = Math.exp(this.average.getMean(nowMs, SERVICE_PRIOR_WEIGHT));
      this.averageMs = nowMs;
    }
    const relative = factor / this.averageFactor;
    return Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, relative));
  }

  /** Logs when a target becomes slow or recovers; at most one line a second and target. */
  private logChange(target: TargetState, nowMs: number): void {
    const { isSlow: wasSlow, atMs } = this.logged.get(target) ?? { isSlow: false, atMs: -Infinity };
    const factor = this.getMeanFactor(target, nowMs);
    const isSlow = factor > (wasSlow ? RECOVERED_FACTOR : SLOW_FACTOR);
    if (isSlow === wasSlow || nowMs - atMs < LOG_INTERVAL_MS) return;
    this.logged.set(target, { isSlow, atMs: nowMs });
    const { speed } = target;
    const ageMs = speed?.getAgeMs(nowMs);
    this.options.log.info(isSlow ? 'target is slow' : 'target is no longer slow', {
      service: this.options.service,
      target: target.record.id,
      slowness: toPlaces(factor),
      samples: toPlaces(speed?.getWeight(nowMs) ?? 0),
      sampleAgeMs: ageMs === undefined ? null : Math.round(ageMs),
      concurrencyLimit: speed?.getConcurrencyLimit(target.record.slots, nowMs) ?? null,
      slots: target.record.slots,
    });
  }
}

function makeQuery(
  { record }: TargetState,
  route: string,
  concurrency: number,
  nowMs: number,
): ISpeedQuery {
  return { route, concurrency, slots: record.slots, nowMs };
}

function toPlaces(value: number): number {
  return Math.round(value * PLACES) / PLACES;
}
