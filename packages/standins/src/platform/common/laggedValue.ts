/** A value that can be read as of an earlier instant. */

interface ITimedValue<T> {
  readonly sinceMs: number;
  readonly value: T;
}

/**
 * Keeps the history that is needed for reads that lag by at most `historyMs`.
 *
 * @example
 * const list = new LaggedValue<readonly string[]>([], 0);
 * list.set(['a'], 100);
 * list.get(50); // []
 */
export class LaggedValue<T> {
  private readonly values: ITimedValue<T>[];

  constructor(
    first: T,
    sinceMs: number,
    private readonly historyMs = 600_000,
  ) {
    this.values = [{ sinceMs, value: first }];
  }

  set(value: T, nowMs: number): void {
    this.values.push({ sinceMs: nowMs, value });
    while ((this.values[1]?.sinceMs ?? Infinity) <= nowMs - this.historyMs) this.values.shift();
  }

  /** Returns the value as of `instantMs`, or the oldest known value for earlier instants. */
  get(instantMs: number): T {
    const found = this.values.findLast(({ sinceMs }) => sinceMs <= instantMs) ?? this.values[0];
    if (found === undefined) throw new RangeError('a lagged value always has a first value');
    return found.value;
  }

  getLatest(): T {
    return this.get(Infinity);
  }
}
