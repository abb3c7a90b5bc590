/** What was disturbed when, so that checks with a time bound judge calm moments only. */

/** A node or target was well for this long before a time-bound promise is asked of it, in ms. */
const CALM_MS = 3000;

interface IDisturbance {
  readonly scope: string;
  readonly startMs: number;
  endMs: number;
}

/** Scope of the metadata store itself. */
export const STORE_SCOPE = 'store';

/** Scope of the way to a target: a cut there keeps from it that nobody waits any more. */
export function formatLinkScope(target: string): string {
  return `link of ${target}`;
}

/**
 * Intervals of faults, by what they touch.
 *
 * @example
 * const end = disturbances.start('node-2', nowMs);
 * end(laterMs);
 */
export class DisturbanceLog {
  private readonly entries: IDisturbance[] = [];

  /** The result ends the disturbance. */
  start(scope: string, startMs: number): (endMs: number) => void {
    const entry: IDisturbance = { scope, startMs, endMs: Infinity };
    this.entries.push(entry);
    return (endMs) => {
      entry.endMs = endMs;
    };
  }

  /** A disturbance that has no length, such as a reset. */
  record(scope: string, atMs: number): void {
    this.start(scope, atMs)(atMs);
  }

  /** Whether none of the scopes was disturbed from some seconds before `startMs` until `endMs`. */
  isCalm(scopes: readonly string[], startMs: number, endMs: number): boolean {
    return !this.entries.some((entry) => {
      const overlaps = entry.startMs <= endMs && entry.endMs >= startMs - CALM_MS;
      return overlaps && scopes.includes(entry.scope);
    });
  }
}
