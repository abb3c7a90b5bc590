/** What every benchmark is to the command that runs them. */

/** One cell: numbers keep their unit in the column's name. */
export type Cell = string | number;

/** Measured figures, one row for each setting that was tried. */
export interface IBenchTable {
  readonly title: string;
  /** Names with units, such as "p99 ms". */
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** All that one run measured. */
export interface IBenchReport {
  readonly tables: readonly IBenchTable[];
  /** What a reader has to know to judge the figures. */
  readonly notes: readonly string[];
}

/** How a run is shaped from the command line. */
export interface IBenchOptions {
  /** Seed of all randomness. */
  readonly seed: number;
  /** Values given as `--set name=value`. */
  readonly values: ReadonlyMap<string, string>;
  /** Where progress may be written, one line at a time. */
  readonly log: (line: string) => void;
}

/** A benchmark: `packages/lab/src/bench/NAME/node/bench.ts` exports one as `bench`. */
export abstract class Bench {
  /** One line for the list of benchmarks. */
  abstract readonly summary: string;

  abstract run(options: IBenchOptions): Promise<IBenchReport>;
}

/**
 * Lists numbers given as "4,16,48", or the default.
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
 * Rounds to `digits` significant digits, so that reports don't show noise.
 *
 * @example
 * formatNumber(0.123456); // 0.123
 */
export function formatNumber(value: number, digits = 3): number {
  return Number(value.toPrecision(digits));
}
