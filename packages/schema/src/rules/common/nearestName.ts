/** Suggestions for misspelled names. */
import { closest, distance } from 'fastest-levenshtein';

/** A name is suggested when at most this share of it would have to change. */
const MAX_CHANGED_SHARE = 0.5;

/**
 * The name that `text` was probably meant to be; undefined when none is near.
 *
 * @example
 * findNearest('timming', ['limits', 'timing']); // 'timing'
 */
export function findNearest(text: string, names: readonly string[]): string | undefined {
  if (names.length === 0) return undefined;
  const folded = new Map(names.map((name) => [formatNormalized(name), name]));
  const nearest = closest(formatNormalized(text), [...folded.keys()]);
  const changes = distance(formatNormalized(text), nearest);
  if (changes > Math.max(text.length, nearest.length) * MAX_CHANGED_SHARE) return undefined;
  return folded.get(nearest);
}

/** Case, dashes and underscores are what people most often get wrong. */
function formatNormalized(name: string): string {
  return name.toLowerCase().replaceAll(/[-_]/g, '');
}
