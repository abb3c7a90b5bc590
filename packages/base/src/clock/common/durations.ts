/** Common units of time, in ms. */

export const MS_PER_SECOND = 1000;
export const MS_PER_MINUTE = 60 * MS_PER_SECOND;
export const MS_PER_HOUR = 60 * MS_PER_MINUTE;
/** A day of 24 hours; daylight saving time is ignored. */
export const MS_PER_DAY = 24 * MS_PER_HOUR;
