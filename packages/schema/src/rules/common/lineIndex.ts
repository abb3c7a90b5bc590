/** Converts offsets in a text to lines and columns. */
import type { ITextPosition } from './settingsError.js';

/**
 * The offsets at which the lines of one text start.
 *
 * @example
 * new LineIndex('{\n  "a": 1}').getPosition(4); // { line: 2, column: 3 }
 */
export class LineIndex {
  private readonly starts: readonly number[];

  constructor(text: string) {
    const starts = [0];
    for (let at = text.indexOf('\n'); at !== -1; at = text.indexOf('\n', at + 1)) {
      starts.push(at + 1);
    }
    this.starts = starts;
  }

  /** Returns the position of `offset`, in UTF-16 code units as editors count them. */
  getPosition(offset: number): ITextPosition {
    let low = 0;
    let high = this.starts.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if ((this.starts[middle] ?? 0) <= offset) low = middle;
      else high = middle - 1;
    }
    return { line: low + 1, column: offset - (this.starts[low] ?? 0) + 1 };
  }
}
