/** Instants on both clocks of a machine, for leases that must expire during a suspension. */
import type { Clock } from './clock.js';

/** One instant as read from the monotonic clock and the wall clock, in ms. */
export interface IInstant {
  /** Does not advance while the machine is suspended. */
  readonly monotonicMs: number;
  /** Includes suspensions, but may be set forwards or backwards. */
  readonly wallMs: number;
}

/**
 * Reads both clocks.
 *
 * @example
 * const sentAt = readInstant(clock);
 */
export function readInstant(clock: Clock): IInstant {
  return { monotonicMs: clock.getMonotonicTime(), wallMs: clock.getWallTime() };
}

/**
 * Returns the time since `instant` in ms, from the clock that shows more. The result is too short only
 * if the machine was suspended and its wall clock was also set back.
 *
 * @example
 * if (measureElapsedMs(clock, lease.startedAt) >= LEASE_MS) refuse();
 */
export function measureElapsedMs(clock: Clock, { monotonicMs, wallMs }: IInstant): number {
  return Math.max(clock.getMonotonicTime() - monotonicMs, clock.getWallTime() - wallMs);
}

/** Returns the instant `ms` before the given one. */
export function computeEarlierInstant({ monotonicMs, wallMs }: IInstant, ms: number): IInstant {
  return { monotonicMs: monotonicMs - ms, wallMs: wallMs - ms };
}

/**
 * Returns the instant since which less time has elapsed. Elapsed times are compared rather than fields,
 * because a later instant can have the smaller wall time after the wall clock was set back.
 *
 * @example
 * proof = pickLaterInstant(clock, proof, next);
 */
export function pickLaterInstant(clock: Clock, left: IInstant, right: IInstant): IInstant {
  return measureElapsedMs(clock, left) < measureElapsedMs(clock, right) ? left : right;
}
