/** Baseline: a target that fails five times in a row is ejected for a fixed time. */
import type { IEvidence, ISuspicion } from './failureDetector.js';
import { Evidence } from './failureDetector.js';
import { BaselineDetector } from './baselineDetector.js';

const DEFAULT_ERRORS = 5;

/** Counts failures in a row. */
export class ConsecutiveErrorsDetector extends BaselineDetector {
  private readonly failureCounts = new Map<string, number>();

  constructor(private readonly maxErrors = DEFAULT_ERRORS) {
    super();
  }

  override setTargets(targets: readonly string[]): void {
    for (const target of this.failureCounts.keys()) {
      if (!targets.includes(target)) this.failureCounts.delete(target);
    }
  }

  override recordEvidence(evidence: IEvidence): ISuspicion | undefined {
    const isFailure = evidence.kind !== Evidence.Success;
    const run = isFailure ? (this.failureCounts.get(evidence.target) ?? 0) + 1 : 0;
    this.failureCounts.set(evidence.target, run);
    if (run < this.maxErrors) return undefined;
    return {
      target: evidence.target,
      reason: `${run} failures in a row`,
      failureShare: 1,
      isSlow: false,
      isPathFaultPossible: true,
    };
  }

  /** Health endpoints answer for targets that fail at their work, so they are no evidence. */
  override recordProbe(): undefined {
    return undefined;
  }

  override reset(target: string): void {
    this.failureCounts.delete(target);
  }
}
