/** Faults as plain settings that a test or a control request replaces in part. */
import VError from 'verror';

/**
 * `current` with the fields of `patch`. Throws on a field that `current` does not have: a
 * misspelt fault would otherwise inject nothing, and the run that relied on it would pass.
 *
 * @example
 * const faults = mergeFaults({ delayMs: 0 }, { delayMs: 500 });
 */
export function mergeFaults<T extends object>(current: T, patch: Partial<T>): T {
  const merged = { ...current };
  for (const [name, value] of Object.entries(patch)) {
    if (!(name in current)) throw new VError('there is no fault "%s"', name);
    const expected = typeof current[name as keyof T];
    if (typeof value !== expected) throw new VError('fault "%s" must be a %s', name, expected);
    merged[name as keyof T] = value as T[keyof T];
  }
  return merged;
}
