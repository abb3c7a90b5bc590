/** How often homes tell each other what they know. */

/**
 * Pause between two tellings, in ms. A home that takes over lacks what happened since: a target that
 * turned gray in that time costs one more request, and retries of that time are covered by the part
 * of the burst that homes leave unused.
 */
export const SHARE_INTERVAL_MS = 500;
/** A home counts as at work while it was asked within this time, in ms. */
export const ACTIVE_MS = 1500;
