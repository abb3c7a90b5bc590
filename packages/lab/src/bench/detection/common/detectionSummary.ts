/** Figures of several replays of one kind, put together. */
import type { IReplayResult } from '../../../replay/common/replayResult.js';

/** One row of the detection table. */
export interface IDetectionSummary {
  /** Over all faulty targets of all seeds, in ms; Infinity for those never detected. */
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

/** Puts results of the same trace and policy, or of several traces, together. */
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

/** The value below which `share` of the sorted values lie; NaN when there are none. */
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
