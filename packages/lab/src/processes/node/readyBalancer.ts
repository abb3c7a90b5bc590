/** The platform's balancer in small: sends callers to nodes that say they are ready. */
import type { IDisposable } from '@parsleymux/base';
import { Balancer } from '../../load/node/loadGenerator.js';
import type { NodeProcess } from './nodeProcess.js';

const POLL_MS = 300;

/**
 * Takes nodes in turn. It lags: a node that died or is leaving gets callers until the next poll.
 *
 * @example
 * const balancer = new ReadyBalancer(() => world.getNodes());
 */
export class ReadyBalancer extends Balancer implements IDisposable {
  private readonly ready = new Map<string, boolean>();
  private readonly polling = new Set<string>();
  private readonly timer: NodeJS.Timeout;
  private turn = 0;

  constructor(private readonly getNodes: () => readonly NodeProcess[]) {
    super();
    this.timer = setInterval(() => void this.poll(), POLL_MS);
  }

  override pick(): string | undefined {
    const nodes = this.listReady();
    this.turn += 1;
    return nodes[this.turn % nodes.length];
  }

  /** Asks every node now, except those that still owe their last answer. */
  async poll(): Promise<void> {
    await Promise.all(this.getNodes().map((node) => this.pollNode(node)));
  }

  getReadyCount(): number {
    return this.listReady().length;
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  private listReady(): readonly string[] {
    return [...this.ready].filter(([, isReady]) => isReady).map(([caller]) => caller);
  }

  /** Each node by itself: waiting for a paused one must not keep the others' state stale. */
  private async pollNode(node: NodeProcess): Promise<void> {
    const { caller } = node.addresses;
    if (this.polling.has(caller)) return;
    this.polling.add(caller);
    this.ready.set(caller, await node.isReady());
    this.polling.delete(caller);
    const running = new Set(this.getNodes().map(({ addresses }) => addresses.caller));
    for (const known of this.ready.keys()) if (!running.has(known)) this.ready.delete(known);
  }
}
