/** Seeds of runs that found a defect. `npm run soak -- --regressions` repeats each one unchanged. */

/** A run that found a defect. */
export interface IRegressionSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
}

export const REGRESSION_SEEDS: readonly IRegressionSeed[] = [
  {
    seed: 107,
    seconds: 20,
    cause:
      'the faulty link forwarded a reset as a regular close: truncated responses looked complete',
  },
  {
    seed: 115,
    seconds: 20,
    cause: 'the same as seed 107',
  },
  {
    seed: 112,
    seconds: 20,
    cause: 'SIGHUP during the start ended the process, and so did a partly written settings file',
  },
  {
    seed: 1010,
    seconds: 12,
    cause:
      'the soak started two processes of one node concurrently, and the port of one was in use',
  },
  {
    seed: 204,
    seconds: 20,
    cause:
      'a repeated update restored the older of two changes of a target: a draining one was ready',
  },
];
