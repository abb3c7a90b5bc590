/** Request counts that are measured against the service-level objectives of a service. */

/** Request counts of one service over one time span. */
export interface IBurnCounts {
  readonly requests: number;
  /** Requests that failed because of the fleet or its targets. */
  readonly failed: number;
  /** Requests that succeeded but exceeded the objective's latency. */
  readonly slow: number;
}

/** Counts by service name. */
export type ServiceCounts = Readonly<Record<string, IBurnCounts>>;

/** Counts of a time span without requests. */
export const NO_COUNTS: IBurnCounts = { requests: 0, failed: 0, slow: 0 };

/** Length of the time slots in which requests are counted, in ms. */
export const SLOT_MS = 300_000;

/**
 * Adds two counts.
 *
 * @example
 * addCounts(NO_COUNTS, { requests: 1, failed: 0, slow: 0 });
 */
export function addCounts(left: IBurnCounts, right: IBurnCounts): IBurnCounts {
  return {
    requests: left.requests + right.requests,
    failed: left.failed + right.failed,
    slow: left.slow + right.slow,
  };
}

/**
 * Adds the counts of each service.
 *
 * @example
 * mergeServiceCounts({}, { booking: NO_COUNTS });
 */
export function mergeServiceCounts(left: ServiceCounts, right: ServiceCounts): ServiceCounts {
  const merged: Record<string, IBurnCounts> = { ...left };
  for (const [service, counts] of Object.entries(right)) {
    merged[service] = addCounts(merged[service] ?? NO_COUNTS, counts);
  }
  return merged;
}

/**
 * Returns the start of the slot that contains an instant; both in ms since the Unix epoch.
 *
 * @example
 * getSlotStart(clock.getWallTime());
 */
export function getSlotStart(atMs: number): number {
  return Math.floor(atMs / SLOT_MS) * SLOT_MS;
}
