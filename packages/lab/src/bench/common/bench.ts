/** The interface between benchmarks and the command that runs them. */

/** One table cell. The column name carries the unit of a number. */
export type Cell = string | number;

/** Measured values, one row per setting. */
export interface IBenchTable {
  readonly title: string;
  /** Column names with units, such as "p99 ms". */
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** Results of one run. */
export interface IBenchReport {
  readonly tables: readonly IBenchTable[];
  /** Context needed to interpret the values. */
  readonly notes: readonly string[];
}

/** Options of a run, from the command line. */
export interface IBenchOptions {
  /** Seed of all random number generators. */
  readonly seed: number;
  /** Values given as `--set name=value`. */
  readonly values: ReadonlyMap<string, string>;
  /** Writes one line of progress. */
  readonly log: (line: string) => void;
}

/** A benchmark: `packages/lab/src/bench/NAME/node/bench.ts` exports one as `bench`. */
export abstract class Bench {
  /** One-line description. */
  abstract readonly summary: string;

  abstract run(options: IBenchOptions): Promise<IBenchReport>;
}

/**
 * Parses a comma-separated option such as "4,16,48". Returns `defaults` if it is not set.
 *
 * @example
 * const nodes = parseNumbers(options, 'nodes', [48, 2100]);
 */
export function parseNumbers(
  options: IBenchOptions,
  name: string,
  defaults: readonly number[],
): readonly number[] {
  const given = options.values.get(name);
  if (given === undefined) return defaults;
  return given.split(',').map(Number);
}

/**
 * Rounds to `digits` significant digits, so that reports do not show noise.
 *
 * @example
 * formatNumber(0.123456); // 0.123
 */
export function formatNumber(value: number, digits = 3): number {
  return Number(value.toPrecision(digits));
}
