/** The return of a refused caller. */

/** What a promised time is derived from. */
export type ReturnBasis = 'quota' | 'slots' | 'no-target';

/** The reservation behind a Retry-After, as written to the log. */
export interface IReturnFacts {
  /** Whether a place was reserved; otherwise none is free in the time for which the caller would wait. */
  readonly isPromised: boolean;
  readonly basis: ReturnBasis;
  /** Age of the oldest figure behind the time, in ms. */
  readonly basisAgeMs: number;
  /** Places of the same tenant or service that were promised before. */
  readonly promisedBefore: number;
}

/** The time at which a caller should return. */
export interface IPlannedReturn {
  /** Retry-After, in ms. */
  readonly retryAfterMs: number;
  /** Undefined if nothing was reserved or looked for. */
  readonly place?: IReturnFacts | undefined;
}

/** Callers honour Retry-After up to this share of their remaining time. */
const MAX_WAIT_SHARE = 1 / 3;
/** Retry-After is sent in steps of this length, in ms. */
const STEP_MS = 10;
const MIN_RETRY_AFTER_MS = 50;
/** Part of the objective by which a place must come: the rest is for the processing. */
const IN_TIME_SHARE = 0.75;

/**
 * The longest Retry-After that a caller with `remainingMs` left honours, in ms.
 *
 * @example
 * computeLatestReturnMs(2000); // 660
 */
export function computeLatestReturnMs(remainingMs: number): number {
  const latestMs = Math.floor((remainingMs * MAX_WAIT_SHARE) / STEP_MS) * STEP_MS;
  return Math.max(MIN_RETRY_AFTER_MS, latestMs);
}

/**
 * The latest place that is worth reserving for a request that first arrived `ageMs` ago, in ms from now: a
 * later one would make its response late, and take the room of a request that can still be in time.
 *
 * @example
 * computeLastPlaceMs({ remainingMs: 4000, objectiveMs: 800, ageMs: 0 }); // 600
 */
export function computeLastPlaceMs(request: {
  readonly remainingMs: number;
  readonly objectiveMs: number;
  readonly ageMs: number;
}): number {
  const inTimeMs = request.objectiveMs * IN_TIME_SHARE - request.ageMs;
  return Math.min(computeLatestReturnMs(request.remainingMs), inTimeMs);
}

/**
 * Converts the wait for a place to a Retry-After, in ms.
 *
 * @example
 * toRetryAfterMs(121.5); // 130
 */
export function toRetryAfterMs(waitMs: number): number {
  return Math.max(STEP_MS, Math.ceil(waitMs / STEP_MS) * STEP_MS);
}
