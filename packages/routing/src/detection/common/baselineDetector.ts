/** Common base of the baseline detectors, which implement widespread simple rules for comparison. */
import type { IDetectorTraits } from './failureDetector.js';
import { FailureDetector } from './failureDetector.js';

const EJECTION_MS = 30_000;

/** No observer, no trials, no stall detection. */
export const BASELINE_TRAITS: IDetectorTraits = {
  probeIntervalMs: undefined,
  usesObserver: false,
  requiresTrial: false,
  detectsStalls: false,
  ejectionMs: EJECTION_MS,
  confirmMs: 0,
  confirmCopies: 0,
};

/** A detector without confirmation, cold targets or slowness detection. */
export abstract class BaselineDetector extends FailureDetector {
  override readonly traits: IDetectorTraits = BASELINE_TRAITS;

  override isConfirmed(): boolean {
    return true;
  }

  override setCold(): void {
    return;
  }

  override getSlowLimit(): number | undefined {
    return undefined;
  }
}
