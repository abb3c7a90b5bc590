/** Baseline: a target that fails five times in a row is ejected for a fixed time. */
import type { IEvidence, ISuspicion } from './failureDetector.js';
import { Evidence } from './failureDetector.js';
import { PlainDetector } from './plainDetector.js';

const DEFAULT_ERRORS = 5;

/** Counts failures in a row. */
export class ConsecutiveErrorsDetector extends PlainDetector {
  private readonly runs = new Map<string, number>();

  constructor(private readonly errors = DEFAULT_ERRORS) {
    super();
  }

  override setTargets(targets: readonly string[]): void {
    for (const target of this.runs.keys()) {
      if (!targets.includes(target)) this.runs.delete(target);
    }
  }

  override recordEvidence(evidence: IEvidence): ISuspicion | undefined {
    const isFailure = evidence.kind !== Evidence.Success;
    const run = isFailure ? (this.runs.get(evidence.target) ?? 0) + 1 : 0;
    this.runs.set(evidence.target, run);
    if (run < this.errors) return undefined;
    return {
      target: evidence.target,
      reason: `${run} failures in a row`,
      failureShare: 1,
      isSlow: false,
      isPathPossible: true,
    };
  }

  /** Health endpoints answer for targets that fail at their work, so they are no evidence. */
  override recordProbe(): undefined {
    return undefined;
  }

  override reset(target: string): void {
    this.runs.delete(target);
  }
}
