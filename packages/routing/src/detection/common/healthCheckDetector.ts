/**
 * Baseline detector: uses health probes only. It misses gray failures, in which a target fails
 * requests but passes its probes.
 */
import type { ISuspicion } from './failureDetector.js';
import { BASELINE_TRAITS, BaselineDetector } from './baselineDetector.js';

const PROBE_INTERVAL_MS = 1000;
const FAILED_PROBES = 3;

/** Counts consecutive failed health probes of each target. */
export class HealthCheckDetector extends BaselineDetector {
  override readonly traits = { ...BASELINE_TRAITS, probeIntervalMs: PROBE_INTERVAL_MS };
  private readonly failureCounts = new Map<string, number>();

  override setTargets(targets: readonly string[]): void {
    for (const target of this.failureCounts.keys()) {
      if (!targets.includes(target)) this.failureCounts.delete(target);
    }
  }

  override recordEvidence(): undefined {
    return undefined;
  }

  override recordProbe(target: string, isHealthy: boolean): ISuspicion | undefined {
    const failures = isHealthy ? 0 : (this.failureCounts.get(target) ?? 0) + 1;
    this.failureCounts.set(target, failures);
    if (failures < FAILED_PROBES) return undefined;
    return {
      target,
      reason: `${failures} failed probes`,
      failureShare: 1,
      isSlow: false,
      isPathFaultPossible: true,
    };
  }

  override reset(target: string): void {
    this.failureCounts.delete(target);
  }
}
