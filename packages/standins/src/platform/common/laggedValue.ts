/** A value that can be read as it was some time ago. */

interface ITimedValue<T> {
  readonly sinceMs: number;
  readonly value: T;
}

/**
 * Keeps what is needed to answer reads that lag by at most `historyMs`.
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

  /** The value as of `instantMs`; the oldest one known for an instant before it. */
  get(instantMs: number): T {
    const found = this.values.findLast(({ sinceMs }) => sinceMs <= instantMs) ?? this.values[0];
    if (found === undefined) throw new RangeError('a lagged value always has a first value');
    return found.value;
  }

  getLatest(): T {
    return this.get(Infinity);
  }
}
