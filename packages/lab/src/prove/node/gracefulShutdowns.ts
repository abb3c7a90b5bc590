/** Nodes that were asked to leave, compared with what happened to requests that they held. */
import type { IProcessEnd } from '../../processes/node/managedProcess.js';
import type { IRequestRecord } from '../../load/common/requestRecord.js';
import { AttemptOutcome } from '../../load/common/requestRecord.js';
import type { Findings } from '../common/findings.js';

/**
 * Remembers when nodes were asked to leave. A node that was also paused or killed is left out:
 * what it cut is that fault's doing.
 *
 * @example
 * shutdowns.record('127.0.0.11:4000', Date.now(), child.waitForEnd());
 */
export class GracefulShutdowns {
  private readonly requestedAtMs = new Map<string, number>();
  private readonly ends = new Map<string, Promise<IProcessEnd>>();
  private readonly disturbed = new Set<string>();

  /** `node` is a caller address. */
  record(node: string, nowMs: number, end: Promise<IProcessEnd>): void {
    this.requestedAtMs.set(node, nowMs);
    this.ends.set(node, end);
  }

  isRequested(node: string): boolean {
    return this.requestedAtMs.has(node);
  }

  markDisturbed(node: string): void {
    this.disturbed.add(node);
  }

  /** Waits for the nodes to end: one that was asked must end, and say that it cut nothing. */
  async checkAll(records: readonly IRequestRecord[], findings: Findings): Promise<void> {
    const attempts = records.flatMap((record) => record.attempts);
    for (const [node, requestedAtMs] of this.requestedAtMs) {
      if (this.disturbed.has(node)) continue;
      const cut = attempts.filter((attempt) => {
        const isInFlight = attempt.endedAtMs >= requestedAtMs;
        const isCut =
          attempt.outcome === AttemptOutcome.Broken || attempt.outcome === AttemptOutcome.TimedOut;
        return attempt.node === node && isInFlight && isCut;
      });
      findings.check('no request cut by a graceful shutdown', cut.length === 0, () => {
        const delaysMs = cut.map(({ sentAtMs }) => sentAtMs - requestedAtMs);
        return `${node} cut ${cut.length} requests, sent ${delaysMs.join(', ')} ms after it was asked`;
      });
      const end = await this.ends.get(node);
      findings.check('a node that was asked to leave ends well', end?.code === 0, () => {
        return `${node} ended with ${end?.code ?? end?.signal ?? 'nothing'}`;
      });
    }
  }
}
