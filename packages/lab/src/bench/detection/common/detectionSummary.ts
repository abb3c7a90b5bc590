/** Aggregates the results of several replays. */
import type { IReplayResult } from '../../../replay/common/replayResult.js';

/** One row of the detection table. */
export interface IDetectionSummary {
  /** Over all faulty targets of all seeds, in ms. Targets never detected count as Infinity. */
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly missed: number;
  readonly faulty: number;
  readonly falsePerTargetHour: number;
  readonly demotionsPerTargetHour: number;
  readonly errorShare: number;
  readonly latencyP99Ms: number;
  readonly slotsOverFloor: number;
  readonly amplification: number;
  readonly violations: number;
}

/** Summarizes the results of one policy on one or several traces. */
export function summarizeReplays(results: readonly IReplayResult[]): IDetectionSummary {
  const times = results.flatMap((result) => result.detectionMs.map((timeMs) => timeMs ?? Infinity));
  const sorted = [...times].sort((left, right) => left - right);
  const hours = addValues(results, (result) => result.targetHours);
  return {
    medianMs: getQuantile(sorted, 0.5),
    p99Ms: getQuantile(sorted, 0.99),
    missed: times.filter((timeMs) => timeMs === Infinity).length,
    faulty: times.length,
    falsePerTargetHour: addValues(results, (result) => result.falseEjections) / hours,
    demotionsPerTargetHour: addValues(results, (result) => result.demotions) / hours,
    errorShare: addValues(results, (result) => result.errorShare) / results.length,
    latencyP99Ms: Math.max(...results.map((result) => result.p99Ms)),
    slotsOverFloor: Math.min(...results.map((result) => result.slotsOverFloor)),
    amplification: Math.max(...results.map((result) => result.amplification)),
    violations: addValues(results, (result) => result.violations),
  };
}

/** Returns the value below which `share` of the sorted values lie; NaN if there are none. */
export function getQuantile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index] ?? NaN;
}

function addValues(
  results: readonly IReplayResult[],
  pick: (result: IReplayResult) => number,
): number {
  return results.reduce((sum, result) => sum + pick(result), 0);
}
