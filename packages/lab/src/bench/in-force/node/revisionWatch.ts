/** Records when each node applies a configuration revision newer than the one at the start. */
import { setTimeout as sleep } from 'node:timers/promises';
import { parseCounter } from '../../../processes/node/nodeMetrics.js';
import type { NodeProcess } from '../../../processes/node/nodeProcess.js';

const POLL_MS = 40;

/**
 * Polls the metrics of the nodes until stopped.
 *
 * @example
 * const watch = await RevisionWatch.start(nodes);
 * await watch.waitUntilAll(nodes, 60_000);
 * await watch.stop();
 */
export class RevisionWatch {
  private readonly reached = new Map<NodeProcess, number>();
  private loops: Promise<unknown> = Promise.resolve();
  private isStopped = false;

  /** Starts polling; the highest revision now in force is the baseline. */
  static async start(nodes: readonly NodeProcess[]): Promise<RevisionWatch> {
    const watch = new RevisionWatch();
    const revisions = await Promise.all(nodes.map((node) => fetchRevision(node)));
    const initialRevision = Math.max(...revisions.map((revision) => revision ?? 0));
    watch.loops = Promise.all(nodes.map((node) => watch.watchNode(node, initialRevision)));
    return watch;
  }

  /** Time at which a newer revision was first observed, on the clock of `performance.now`. */
  getReachedMs(node: NodeProcess): number | undefined {
    return this.reached.get(node);
  }

  /** Waits until all `nodes` have a newer revision. Returns the time at which the last one had it. */
  async waitUntilAll(nodes: readonly NodeProcess[], timeoutMs: number): Promise<number> {
    const endMs = performance.now() + timeoutMs;
    while (nodes.some((node) => !this.reached.has(node))) {
      if (performance.now() > endMs)
        throw new Error('not in force on all nodes within the timeout');
      await sleep(POLL_MS);
    }
    return Math.max(...nodes.map((node) => this.reached.get(node) ?? 0));
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loops;
  }

  private async watchNode(node: NodeProcess, initialRevision: number): Promise<void> {
    while (!this.isStopped && !this.reached.has(node)) {
      const revision = await fetchRevision(node);
      if (revision !== undefined && revision > initialRevision)
        this.reached.set(node, performance.now());
      await sleep(POLL_MS);
    }
  }
}

async function fetchRevision(node: NodeProcess): Promise<number | undefined> {
  const page = await node.fetchMetrics();
  return page === undefined ? undefined : parseCounter(page, 'parsleymux_config_revision');
}
