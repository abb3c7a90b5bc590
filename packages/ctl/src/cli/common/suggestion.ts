/** What the operator probably meant. */
import { distance } from 'fastest-levenshtein';

/** Suggested only when at most this share of the letters differs. */
const MAX_CHANGED_FRACTION = 0.5;

/**
 * The known command nearest to the words given, or undefined when none is near.
 *
 * @example
 * findNearestCommand(['plan', 'confrim', 'p1'], [['plan', 'confirm']]); // 'plan confirm'
 */
export function findNearestCommand(
  words: readonly string[],
  paths: readonly (readonly string[])[],
): string | undefined {
  const plain = words.filter((word) => !word.startsWith('-'));
  const ranked = paths
    .map((path) => ({ path, changes: countChanges(plain, path) }))
    .filter(({ path, changes }) => changes <= path.join(' ').length * MAX_CHANGED_FRACTION)
    .sort((left, right) => left.changes - right.changes);
  return ranked[0]?.path.join(' ');
}

function countChanges(words: readonly string[], path: readonly string[]): number {
  return distance(words.slice(0, path.length).join(' '), path.join(' '));
}
