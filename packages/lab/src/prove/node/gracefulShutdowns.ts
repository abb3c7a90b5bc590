/** Nodes that were asked to leave, compared with what happened to requests that they held. */
import type { IRequestRecord } from '../../load/common/requestRecord.js';
import { AttemptOutcome } from '../../load/common/requestRecord.js';
import type { Findings } from './findings.js';

/**
 * Remembers when nodes were asked to leave. A node that was also paused or killed is left out:
 * what it cut is that fault's doing.
 *
 * @example
 * shutdowns.record('127.0.0.11:4000', Date.now());
 */
export class GracefulShutdowns {
  private readonly askedAtMs = new Map<string, number>();
  private readonly disturbed = new Set<string>();

  /** `node` is a caller address. */
  record(node: string, nowMs: number): void {
    this.askedAtMs.set(node, nowMs);
  }

  markDisturbed(node: string): void {
    this.disturbed.add(node);
  }

  checkAll(records: readonly IRequestRecord[], findings: Findings): void {
    const attempts = records.flatMap((record) => record.attempts);
    for (const [node, askedAtMs] of this.askedAtMs) {
      if (this.disturbed.has(node)) continue;
      const cut = attempts.filter((attempt) => {
        const isInFlight = attempt.sentAtMs <= askedAtMs && attempt.endedAtMs >= askedAtMs;
        const isCut =
          attempt.outcome === AttemptOutcome.Broken || attempt.outcome === AttemptOutcome.TimedOut;
        return attempt.node === node && isInFlight && isCut;
      });
      findings.check('no request cut by a graceful shutdown', cut.length === 0, () => {
        return `${node} cut ${cut.length} requests that were in flight when it was asked to leave`;
      });
    }
  }
}
