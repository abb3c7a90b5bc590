/** Suggestions for misspelled names. */
import { closest, distance } from 'fastest-levenshtein';

/** Maximum edit distance of a suggested name, as a share of the longer name's length. */
const MAX_CHANGED_SHARE = 0.5;

/**
 * Returns the name that is most similar to `text`; undefined when none is similar enough.
 *
 * @example
 * findNearest('timming', ['limits', 'timing']); // 'timing'
 */
export function findNearest(text: string, names: readonly string[]): string | undefined {
  if (names.length === 0) return undefined;
  const normalized = new Map(names.map((name) => [formatNormalized(name), name]));
  const nearest = closest(formatNormalized(text), [...normalized.keys()]);
  const changes = distance(formatNormalized(text), nearest);
  if (changes > Math.max(text.length, nearest.length) * MAX_CHANGED_SHARE) return undefined;
  return normalized.get(nearest);
}

/** Ignores case, dashes and underscores, the most frequent differences in misspelled names. */
function formatNormalized(name: string): string {
  return name.toLowerCase().replaceAll(/[-_]/g, '');
}
