/** Compares what a replay measured with what was stated. */
import type { IExpectedOutcome } from '../../trace/common/trace.js';
import type { IReplayResult } from './replayResult.js';

/** The statements that do not hold, one line each; none when all is well. */
export function checkOutcome(result: IReplayResult, stated: IExpectedOutcome): readonly string[] {
  const broken: string[] = [];
  const check = (name: string, value: number, limit: number | undefined, isMin = false) => {
    if (limit === undefined) return;
    const holds = isMin ? value >= limit : value <= limit;
    if (!holds)
      broken.push(`${name} is ${value}, stated ${isMin ? 'at least' : 'at most'} ${limit}`);
  };
  const slowest = Math.max(0, ...result.detectionMs.map((timeMs) => timeMs ?? Infinity));
  check('detection time in ms', slowest, stated.detectedWithinMs);
  check('false ejections', result.falseEjections, stated.maxFalseEjections);
  check('error share', result.errorShare, stated.maxErrorShare);
  check('p99 in ms', result.p99Ms, stated.maxP99Ms);
  check('attempts a request', result.amplification, stated.maxAmplification);
  check('goodput share', result.goodputShare ?? 0, stated.minGoodputShare, true);
  check('retry amplification', result.retryAmplification, stated.maxRetryAmplification);
  check("other callers' error share", result.othersErrorShare, stated.maxOthersErrorShare);
  check("other callers' p99 in ms", result.othersP99Ms, stated.maxOthersP99Ms);
  // These hold of every trace and need no statement.
  check('slots over the floor', result.slotsOverFloor, 0, true);
  check('invariant violations', result.violations, 0);
  return broken;
}
