/** Lengths of the usual units of time, in ms. */

/** A second, in ms. */
export const MS_PER_SECOND = 1000;
/** A minute, in ms. */
export const MS_PER_MINUTE = 60 * MS_PER_SECOND;
/** An hour, in ms. */
export const MS_PER_HOUR = 60 * MS_PER_MINUTE;
/** A day of 24 hours, in ms. */
export const MS_PER_DAY = 24 * MS_PER_HOUR;
