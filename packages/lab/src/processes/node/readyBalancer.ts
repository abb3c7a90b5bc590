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
  private ready: readonly string[] = [];
  private turn = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly getNodes: () => readonly NodeProcess[]) {
    super();
    this.timer = setInterval(() => void this.poll(), POLL_MS);
  }

  override pick(): string | undefined {
    if (this.ready.length === 0) return undefined;
    this.turn = (this.turn + 1) % this.ready.length;
    return this.ready[this.turn];
  }

  /** Asks every node now. */
  async poll(): Promise<void> {
    const nodes = this.getNodes();
    const answers = await Promise.all(nodes.map((node) => node.isReady()));
    this.ready = nodes
      .filter((_, index) => answers[index])
      .map(({ addresses }) => addresses.caller);
  }

  getReadyCount(): number {
    return this.ready.length;
  }

  dispose(): void {
    clearInterval(this.timer);
  }
}
