/** Means over runs, and over differences between runs with the same seed. */
import tQuantile from '@stdlib/stats-base-dists-t-quantile';
import { mean, sampleStandardDeviation } from 'simple-statistics';
import type { IRunResult } from './runRecorder.js';

/** Confidence level of the two-sided intervals. */
const CONFIDENCE = 0.95;

/** Metrics that are compared. */
export const METRIC_NAMES = [
  'credit',
  'worstCredit',
  'worstKindCredit',
  'inTime',
  'late',
  'refused',
  'failed',
  'heldRefusals',
  'failedRuns',
  'connections',
  'crossedKib',
] as const;

export type MetricName = (typeof METRIC_NAMES)[number];

/** A mean with half the width of its confidence interval. */
export interface IEstimate {
  readonly mean: number;
  readonly halfWidth: number;
}

/** Metrics of one policy, and their differences to the first policy, paired by seed. */
export interface IComparedPolicy {
  readonly policy: string;
  readonly figures: Readonly<Record<MetricName, IEstimate>>;
  readonly differences: Readonly<Record<MetricName, IEstimate>> | undefined;
}

/**
 * Estimates the mean and its confidence interval by Student's t distribution.
 *
 * @example
 * estimateMean([0.1, 0.12, 0.11]); // { mean: 0.11, halfWidth: 0.025 }
 */
export function estimateMean(values: readonly number[]): IEstimate {
  const list = [...values];
  if (list.length < 2) return { mean: list[0] ?? NaN, halfWidth: Infinity };
  const quantile = tQuantile((1 + CONFIDENCE) / 2, list.length - 1);
  const error = sampleStandardDeviation(list) / Math.sqrt(list.length);
  return { mean: mean(list), halfWidth: quantile * error };
}

/** Compares runs of policies; each list has one run for each seed, in the same order of seeds. */
export function comparePolicies(
  runs: readonly { readonly policy: string; readonly results: readonly IRunResult[] }[],
): readonly IComparedPolicy[] {
  const [baseline] = runs;
  return runs.map((run) => ({
    policy: run.policy,
    figures: estimateAll((name) => run.results.map((result) => result[name])),
    differences:
      run === baseline || baseline === undefined
        ? undefined
        : estimateAll((name) => {
            return run.results.map((result, seed) => {
              return result[name] - (baseline.results[seed]?.[name] ?? NaN);
            });
          }),
  }));
}

function estimateAll(
  getValues: (name: MetricName) => readonly number[],
): Readonly<Record<MetricName, IEstimate>> {
  const entries = METRIC_NAMES.map((name) => [name, estimateMean(getValues(name))] as const);
  return Object.fromEntries(entries) as Record<MetricName, IEstimate>;
}
