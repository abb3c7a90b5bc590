/** Faults as plain settings that tests and control requests update in part. */
import VError from 'verror';

/**
 * Returns `current` with the fields of `patch` replaced. Throws on a field that `current` does not
 * have: otherwise, a misspelled fault would inject nothing and a test that relies on it would pass.
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
