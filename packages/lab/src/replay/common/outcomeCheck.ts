/** Compares the result of a replay with the expected outcome of its trace. */
import type { IExpectedOutcome } from '../../trace/common/trace.js';
import type { IReplayResult } from './replayResult.js';

/** Lists the expectations that the result violates, one line each; empty if there are none. */
export function checkOutcome(result: IReplayResult, expected: IExpectedOutcome): readonly string[] {
  const violations: string[] = [];
  const check = (name: string, value: number, limit: number | undefined, isMin = false) => {
    if (limit === undefined) return;
    const holds = isMin ? value >= limit : value <= limit;
    if (!holds)
      violations.push(`${name} is ${value}, expected ${isMin ? 'at least' : 'at most'} ${limit}`);
  };
  const slowest = Math.max(0, ...result.detectionMs.map((timeMs) => timeMs ?? Infinity));
  check('detection time in ms', slowest, expected.detectedWithinMs);
  check('false ejections', result.falseEjections, expected.maxFalseEjections);
  check('error share', result.errorShare, expected.maxErrorShare);
  check('p99 in ms', result.p99Ms, expected.maxP99Ms);
  check('attempts per request', result.amplification, expected.maxAmplification);
  check('goodput share', result.goodputShare ?? 0, expected.minGoodputShare, true);
  check('retry amplification', result.retryAmplification, expected.maxRetryAmplification);
  check("other callers' error share", result.othersErrorShare, expected.maxOthersErrorShare);
  check("other callers' p99 in ms", result.othersP99Ms, expected.maxOthersP99Ms);
  // These limits apply to every trace, so outcome files don't contain them.
  check('slots over the floor', result.slotsOverFloor, 0, true);
  check('invariant violations', result.violations, 0);
  return violations;
}
