/** Intervals at which homes exchange their state. */

/**
 * Interval between two messages, in ms. A home that takes over lacks the events since the last message:
 * a target that began to fail in that time costs one more request, and retries of that time are covered
 * by the unused share of the burst.
 */
export const SHARE_INTERVAL_MS = 500;
/** Interval between two digests of a service, in ms. A home that takes over lacks what came after the last. */
export const DIGEST_INTERVAL_MS = 2 * SHARE_INTERVAL_MS;
/** A home is active for this long after its last grant request, in ms. */
export const ACTIVE_MS = 1500;
