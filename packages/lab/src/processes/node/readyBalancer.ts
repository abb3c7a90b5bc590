/** A small model of the platform's load balancer: sends callers to nodes that report readiness. */
import type { IDisposable } from '@parsleymux/base';
import { Balancer } from '../../load/node/loadGenerator.js';
import type { NodeProcess } from './nodeProcess.js';

const POLL_MS = 300;

/**
 * Round-robin balancer. A node that crashed or is shutting down receives callers until the next poll.
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

  /** Polls every node now, except those whose previous poll has no response yet. */
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

  /** Polls nodes independently, so that a paused one does not delay the state of the others. */
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
