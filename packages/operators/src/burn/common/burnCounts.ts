/** Counts of requests against the objectives of a service. */

/** Requests of one service in one span of time. */
export interface IBurnCounts {
  readonly requests: number;
  /** Requests that the fleet or its targets failed. */
  readonly failed: number;
  /** Requests that succeeded, later than the objective's latency. */
  readonly slow: number;
}

/** Counts by service name. */
export type ServiceCounts = Readonly<Record<string, IBurnCounts>>;

/** Counts of a span without requests. */
export const NO_COUNTS: IBurnCounts = { requests: 0, failed: 0, slow: 0 };

/** Length of the time slots in which requests are counted, in ms. */
export const SLOT_MS = 300_000;

/**
 * The sum of two counts.
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
 * The sum of the counts of each service.
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
 * Start of the slot that an instant falls into, in ms since the Unix epoch.
 *
 * @example
 * getSlotStart(clock.getWallTime());
 */
export function getSlotStart(atMs: number): number {
  return Math.floor(atMs / SLOT_MS) * SLOT_MS;
}
