/** Reads how long a target wants to be left alone. */
import { MS_PER_SECOND } from '@parsleymux/base';

const SECONDS = /^\s*\d+(\.\d+)?\s*$/;

/**
 * In ms from now, of the value of a Retry-After header: seconds, also with fractions, or an HTTP date.
 * Undefined when it is neither, also for negative numbers; 0 for a date that has passed.
 *
 * @example
 * parseRetryAfterMs('1.5', Date.now()); // 1500
 */
export function parseRetryAfterMs(text: string, wallMs: number): number | undefined {
  if (SECONDS.test(text)) return Number(text) * MS_PER_SECOND;
  // Dates begin with the name of the day; other text is sometimes taken for a date by the parser.
  const dateMs = /^\s*[A-Z][a-z]{2}/.test(text) ? Date.parse(text) : NaN;
  return Number.isNaN(dateMs) ? undefined : Math.max(0, dateMs - wallMs);
}
