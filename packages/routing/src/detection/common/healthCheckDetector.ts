/** Baseline: only health probes count. A gray failure answers them and is never seen. */
import type { ISuspicion } from './failureDetector.js';
import { PLAIN_TRAITS, PlainDetector } from './plainDetector.js';

const PROBE_INTERVAL_MS = 1000;
const FAILURES = 3;

/** Counts failed health probes in a row. */
export class HealthCheckDetector extends PlainDetector {
  override readonly traits = { ...PLAIN_TRAITS, probeIntervalMs: PROBE_INTERVAL_MS };
  private readonly runs = new Map<string, number>();

  override setTargets(targets: readonly string[]): void {
    for (const target of this.runs.keys()) {
      if (!targets.includes(target)) this.runs.delete(target);
    }
  }

  override recordEvidence(): undefined {
    return undefined;
  }

  override recordProbe(target: string, isHealthy: boolean): ISuspicion | undefined {
    const run = isHealthy ? 0 : (this.runs.get(target) ?? 0) + 1;
    this.runs.set(target, run);
    if (run < FAILURES) return undefined;
    return {
      target,
      reason: `${run} failed probes`,
      failureShare: 1,
      isSlow: false,
      isPathPossible: true,
    };
  }

  override reset(target: string): void {
    this.runs.delete(target);
  }
}
