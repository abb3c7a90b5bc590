/** Checks that nodes which are requested to shut down complete their requests and exit cleanly. */
import type { IProcessEnd } from '../../processes/node/managedProcess.js';
import type { IRequestRecord } from '../../load/common/requestRecord.js';
import { AttemptOutcome } from '../../load/common/requestRecord.js';
import type { Findings } from '../common/findings.js';

/**
 * Records when nodes were requested to shut down. A node that was also paused or killed is not checked,
 * since that fault may have interrupted its requests.
 *
 * @example
 * shutdowns.record('127.0.0.11:4000', Date.now(), child.waitForEnd());
 */
export class GracefulShutdowns {
  private readonly requestedAtMs = new Map<string, number>();
  private readonly ends = new Map<string, Promise<IProcessEnd>>();
  private readonly disturbed = new Set<string>();

  /** Records a request to shut down; `node` is the node's caller address. */
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

  /** Waits for the nodes to end. Each must exit with code 0 and must not have interrupted a request. */
  async checkAll(records: readonly IRequestRecord[], findings: Findings): Promise<void> {
    const attempts = records.flatMap((record) => record.attempts);
    for (const [node, requestedAtMs] of this.requestedAtMs) {
      if (this.disturbed.has(node)) continue;
      const interrupted = attempts.filter((attempt) => {
        const isInFlight = attempt.endedAtMs >= requestedAtMs;
        const isInterrupted =
          attempt.outcome === AttemptOutcome.Broken || attempt.outcome === AttemptOutcome.TimedOut;
        return attempt.node === node && isInFlight && isInterrupted;
      });
      findings.check('no request cut by a graceful shutdown', interrupted.length === 0, () => {
        const delaysMs = interrupted.map(({ sentAtMs }) => sentAtMs - requestedAtMs);
        return `${node} interrupted ${interrupted.length} requests, sent ${delaysMs.join(', ')} ms after the request to shut down`;
      });
      const end = await this.ends.get(node);
      findings.check('a node that was asked to leave ends well', end?.code === 0, () => {
        return `${node} ended with ${end?.code ?? end?.signal ?? 'nothing'}`;
      });
    }
  }
}
