/**
 * Keeps the last metrics page of each node. Counters are lost when a node is killed, so reading them only
 * at the end would miss the counts of killed nodes.
 */
import type { IDisposable } from '@parsleymux/base';
import type { NodeProcess } from '../../processes/node/nodeProcess.js';
import type { IInvariantCount } from '../../processes/node/nodeMetrics.js';
import {
  mergeCounts,
  parseCounter,
  parseInvariantCounts,
} from '../../processes/node/nodeMetrics.js';

const INTERVAL_MS = 500;

/** Polls the metrics of every node until it is disposed of. */
export class MetricsWatcher implements IDisposable {
  private readonly pages = new Map<string, string>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly getNodes: () => readonly NodeProcess[]) {
    this.timer = setInterval(() => void this.poll(), INTERVAL_MS);
  }

  async poll(): Promise<void> {
    await Promise.all(
      this.getNodes().map(async (node) => {
        const page = await node.fetchMetrics();
        if (page !== undefined) this.pages.set(node.options.name, page);
      }),
    );
  }

  /** Returns the totals over every node that responded at least once. */
  getCounts(kind: 'checks' | 'violations'): readonly IInvariantCount[] {
    const pages = [...this.pages.values()];
    return mergeCounts(pages.map((page) => parseInvariantCounts(page, kind)));
  }

  /** Returns a counter's total over every node that responded at least once. */
  getTotal(counter: string): number {
    return [...this.pages.values()].reduce((sum, page) => sum + parseCounter(page, counter), 0);
  }

  /** Returns the number of nodes that responded at least once. */
  getNodeCount(): number {
    return this.pages.size;
  }

  dispose(): void {
    clearInterval(this.timer);
  }
}
