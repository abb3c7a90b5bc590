/** A list that is kept in order. */

/**
 * Finds positions by binary search; an insertion or removal moves the items behind it in memory. Items must
 * keep their order while they are in the list, and no two of them may be equal in order.
 *
 * @example
 * const numbers = new SortedList<number>((left, right) => left - right);
 * numbers.add(3);
 */
export class SortedList<T> {
  private readonly items: T[] = [];

  constructor(private readonly compare: (left: T, right: T) => number) {}

  get size(): number {
    return this.items.length;
  }

  /** The item at `index`; a negative index counts from the end. */
  get(index: number): T | undefined {
    return this.items.at(index);
  }

  add(item: T): void {
    this.items.splice(this.countBefore(item), 0, item);
  }

  remove(item: T): void {
    const index = this.countBefore(item);
    if (this.items[index] === item) this.items.splice(index, 1);
  }

  /** Number of items that come before `item`, which need not be in the list. */
  countBefore(item: T): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.compare(this.items[middle] as T, item) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** A snapshot in order. */
  list(): readonly T[] {
    return this.items.slice();
  }
}
