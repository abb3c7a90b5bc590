/** Baseline detector: suspects a target after a fixed number of consecutive failures. */
import type { IEvidence, ISuspicion } from './failureDetector.js';
import { Evidence } from './failureDetector.js';
import { BaselineDetector } from './baselineDetector.js';

const DEFAULT_MAX_ERRORS = 5;

/** Counts consecutive failures of each target. */
export class ConsecutiveErrorsDetector extends BaselineDetector {
  private readonly failureCounts = new Map<string, number>();

  constructor(private readonly maxErrors = DEFAULT_MAX_ERRORS) {
    super();
  }

  override setTargets(targets: readonly string[]): void {
    for (const target of this.failureCounts.keys()) {
      if (!targets.includes(target)) this.failureCounts.delete(target);
    }
  }

  override recordEvidence(evidence: IEvidence): ISuspicion | undefined {
    const isFailure = evidence.kind !== Evidence.Success;
    const failures = isFailure ? (this.failureCounts.get(evidence.target) ?? 0) + 1 : 0;
    this.failureCounts.set(evidence.target, failures);
    if (failures < this.maxErrors) return undefined;
    return {
      target: evidence.target,
      reason: `${failures} failures in a row`,
      failureShare: 1,
      isSlow: false,
      isPathFaultPossible: true,
    };
  }

  /** Ignored: a target that fails requests may still respond successfully on its health endpoint. */
  override recordProbe(): undefined {
    return undefined;
  }

  override reset(target: string): void {
    this.failureCounts.delete(target);
  }
}
