/** Seeds that once showed a fault. Each is run again, unchanged, by `npm run soak -- --regressions`. */

/** A run that failed once. */
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
      'the link of the stand-ins passed a reset on as an orderly end: half answers looked whole',
  },
  {
    seed: 115,
    seconds: 20,
    cause: 'the same as seed 107',
  },
  {
    seed: 112,
    seconds: 20,
    cause:
      'SIGHUP during the start ended the process; so did a settings file that was half written then',
  },
  {
    seed: 1010,
    seconds: 12,
    cause:
      'the soak itself started two processes of one node at once, and one found its port taken',
  },
  {
    seed: 204,
    seconds: 20,
    cause:
      'a repeated update brought the older of two changes of a target back: a leaving one was ready',
  },
];
