/** What the usual rules, kept as baselines, have in common. */
import type { IDetectorTraits } from './failureDetector.js';
import { FailureDetector } from './failureDetector.js';

const EJECTION_MS = 30_000;

/** No second opinion, no trials, no watch on what is overdue, no notion of slowness. */
export const BASELINE_TRAITS: IDetectorTraits = {
  probeIntervalMs: undefined,
  usesObserver: false,
  requiresTrial: false,
  detectsStalls: false,
  ejectionMs: EJECTION_MS,
  confirmMs: 0,
  confirmCopies: 0,
};

/** A detector without the finer points. */
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
