/** The lifecycle stage of this node and its number of requests in flight. */
import { Emitter } from '@parsleymux/base';

/** Stages in the lifecycle of a node, in their order. */
export const NodeStage = {
  Starting: 'starting',
  Serving: 'serving',
  /** The node notifies the balancer and its peers, and finishes the requests in flight. */
  ShuttingDown: 'leaving',
  Stopped: 'stopped',
} as const;

export type NodeStage = (typeof NodeStage)[keyof typeof NodeStage];

/**
 * Tracks the stage of the node and counts its requests in flight.
 *
 * @example
 * const state = new NodeState();
 * const finish = state.startRequest();
 * finish();
 */
export class NodeState {
  private readonly didChangeStage = new Emitter<NodeStage>();
  private readonly didFinishAll = new Emitter<undefined>();
  private stage: NodeStage = NodeStage.Starting;
  private inFlight = 0;

  readonly onDidChangeStage = this.didChangeStage.onDidFire;

  getStage(): NodeStage {
    return this.stage;
  }

  setStage(stage: NodeStage): void {
    if (this.stage === stage) return;
    this.stage = stage;
    this.didChangeStage.fire(stage);
  }

  isShuttingDown(): boolean {
    return this.stage === NodeStage.ShuttingDown || this.stage === NodeStage.Stopped;
  }

  getInFlight(): number {
    return this.inFlight;
  }

  /** Counts a request as in flight until the returned function is called; further calls do nothing. */
  startRequest(): () => void {
    this.inFlight += 1;
    let isFinished = false;
    return () => {
      if (isFinished) return;
      isFinished = true;
      this.inFlight -= 1;
      if (this.inFlight === 0) this.didFinishAll.fire(undefined);
    };
  }

  /** Resolves when no request is in flight, or when `signal` aborts. */
  waitUntilIdle(signal: AbortSignal): Promise<void> {
    if (this.inFlight === 0 || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const subscription = this.didFinishAll.onDidFire(finish);
      signal.addEventListener('abort', finish, { once: true });
      function finish(): void {
        void subscription.dispose();
        signal.removeEventListener('abort', finish);
        resolve();
      }
    });
  }
}
