/** Moments that are measured by two clocks, for leases that must not outlive a suspension. */
import type { Clock } from './clock.js';

/** One moment as both clocks of a machine showed it, in ms. */
export interface IInstant {
  /** Stands still while the machine is suspended. */
  readonly monotonicMs: number;
  /** Counts a suspension, but may step. */
  readonly wallMs: number;
}

/**
 * @example
 * const sentAt = readInstant(clock);
 */
export function readInstant(clock: Clock): IInstant {
  return { monotonicMs: clock.getMonotonicTime(), wallMs: clock.getWallTime() };
}

/**
 * Time since `instant` by the clock that shows more, in ms. It is too short only for a machine that was
 * suspended and whose time of day was set back meanwhile.
 *
 * @example
 * if (measureElapsedMs(clock, lease.startedAt) >= LEASE_MS) refuse();
 */
export function measureElapsedMs(clock: Clock, { monotonicMs, wallMs }: IInstant): number {
  return Math.max(clock.getMonotonicTime() - monotonicMs, clock.getWallTime() - wallMs);
}

/** The moment `ms` before `instant`. */
export function computeEarlierInstant({ monotonicMs, wallMs }: IInstant, ms: number): IInstant {
  return { monotonicMs: monotonicMs - ms, wallMs: wallMs - ms };
}

/**
 * The moment since which less time has passed. Compared by what has passed and not field by field: after
 * a step of the time of day, a later moment may have the earlier time of day.
 *
 * @example
 * proof = pickLater(clock, proof, next);
 */
export function pickLaterInstant(clock: Clock, left: IInstant, right: IInstant): IInstant {
  return measureElapsedMs(clock, left) < measureElapsedMs(clock, right) ? left : right;
}
