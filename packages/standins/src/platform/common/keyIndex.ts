/**
 * An ordered index of keys for scans by prefix. Keys are grouped by their part up to the first slash,
 * and a group is sorted only when a scan needs it. In a single sorted array, each insertion moves all
 * later keys, which slows a transaction of 100 rows to 100 ms in a table of 200,000 claims.
 */

interface IKeyGroup {
  readonly keys: string[];
  isSorted: boolean;
}

/**
 * An append-only index: keys are never removed.
 *
 * @example
 * const index = new KeyIndex();
 * index.add('claim/a');
 * index.list('claim/', ''); // ['claim/a']
 */
export class KeyIndex {
  private readonly groups = new Map<string, IKeyGroup>();

  /** Adds a key, which must not be in the index yet. */
  add(key: string): void {
    const name = getGroupName(key);
    const group = this.groups.get(name) ?? { keys: [], isSorted: true };
    this.groups.set(name, group);
    const last = group.keys.at(-1);
    if (last !== undefined && last > key) group.isSorted = false;
    group.keys.push(key);
  }

  /** Yields the keys with the prefix that are greater than `after`, in order. */
  *list(prefix: string, after: string): Generator<string> {
    const keys = prefix.includes('/') ? this.getSorted(getGroupName(prefix)) : this.getAll(prefix);
    const start = findIndex(keys, prefix > after ? prefix : after);
    for (let index = start; index < keys.length; index += 1) {
      const key = keys[index] ?? '';
      if (!key.startsWith(prefix)) return;
      if (key > after) yield key;
    }
  }

  private getSorted(name: string): readonly string[] {
    const group = this.groups.get(name);
    if (group === undefined) return [];
    if (!group.isSorted) group.keys.sort();
    group.isSorted = true;
    return group.keys;
  }

  /** A prefix without a slash can span several groups, so their keys are merged and sorted. */
  private getAll(prefix: string): readonly string[] {
    const keys = [...this.groups.values()].flatMap((group) => group.keys);
    return keys.filter((key) => key.startsWith(prefix)).sort();
  }
}

function getGroupName(key: string): string {
  return key.slice(0, key.indexOf('/') + 1);
}

/** Returns the index of the first key that is greater than or equal to `wanted`. */
function findIndex(keys: readonly string[], wanted: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((keys[middle] ?? '') < wanted) low = middle + 1;
    else high = middle;
  }
  return low;
}
