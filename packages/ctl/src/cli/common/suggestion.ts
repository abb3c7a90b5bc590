/** Suggests a command for an unknown one. */
import { distance } from 'fastest-levenshtein';

/** Maximum edit distance of a suggestion, as a fraction of the command's length. */
const MAX_CHANGED_FRACTION = 0.5;

/**
 * Finds the known command that is most similar to the words, or undefined if none is similar enough.
 *
 * @example
 * findNearestCommand(['plan', 'confrim', 'p1'], [['plan', 'confirm']]); // 'plan confirm'
 */
export function findNearestCommand(
  words: readonly string[],
  paths: readonly (readonly string[])[],
): string | undefined {
  const withoutOptions = words.filter((word) => !word.startsWith('-'));
  const ranked = paths
    .map((path) => ({ path, changes: countChanges(withoutOptions, path) }))
    .filter(({ path, changes }) => changes <= path.join(' ').length * MAX_CHANGED_FRACTION)
    .sort((left, right) => left.changes - right.changes);
  return ranked[0]?.path.join(' ');
}

function countChanges(words: readonly string[], path: readonly string[]): number {
  return distance(words.slice(0, path.length).join(' '), path.join(' '));
}
