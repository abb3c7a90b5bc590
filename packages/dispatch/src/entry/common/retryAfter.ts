/** Parses the Retry-After header. */
import { MS_PER_SECOND } from '@parsleymux/base';

const SECONDS = /^\s*\d+(\.\d+)?\s*$/;

/**
 * Returns the value of a Retry-After header in ms from now: seconds, with or without fractions, or an HTTP
 * date. Returns undefined for any other text, including negative numbers, and 0 for a date in the past.
 *
 * @example
 * parseRetryAfterMs('1.5', Date.now()); // 1500
 */
export function parseRetryAfterMs(text: string, wallMs: number): number | undefined {
  if (SECONDS.test(text)) return Number(text) * MS_PER_SECOND;
  // HTTP dates begin with the day of the week; Date.parse also accepts text that is not a date.
  const dateMs = /^\s*[A-Z][a-z]{2}/.test(text) ? Date.parse(text) : NaN;
  return Number.isNaN(dateMs) ? undefined : Math.max(0, dateMs - wallMs);
}
