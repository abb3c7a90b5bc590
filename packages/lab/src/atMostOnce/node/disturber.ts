/** Kills and pauses nodes and drops responses of the platform at random times. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '@parsleymux/base';
import type { LabWorld } from '../../processes/node/labWorld.js';
import type { NodeProcess } from '../../processes/node/nodeProcess.js';

/** Mean time between two disturbances, in ms. */
const SPACING_MS = 500;
/** Durations of pauses, in ms; some end before and some after the requests' deadlines of 4 s. */
const PAUSES_MS: readonly number[] = [50, 400, 1500, 5000];
/** Share of the disturbances that kill a node. */
const KILL_SHARE = 0.3;
/** Share of the disturbances that kill or pause a node; the others drop responses. */
const PAUSE_SHARE = 0.8;
const MAX_LOST_RESPONSES = 4;
/** Nodes are not disturbed when fewer than this run, so that a fleet remains under test. */
const MIN_NODES = 3;

/** Numbers of disturbances by kind. */
export interface IDisturbances {
  readonly kills: number;
  readonly pauses: number;
  readonly lostResponses: number;
}

/**
 * Disturbs a world until it is stopped.
 *
 * @example
 * const disturber = new Disturber(world, random);
 * disturber.start();
 * await disturber.stop();
 */
export class Disturber {
  private readonly stopping = new AbortController();
  private readonly pending = new Set<Promise<void>>();
  private loop: Promise<void> = Promise.resolve();
  private kills = 0;
  private pauses = 0;
  private lostResponses = 0;

  constructor(
    private readonly world: LabWorld,
    private readonly random: RandomSource,
  ) {}

  start(): void {
    this.loop = this.runUntilStopped();
  }

  /** Ends the disturbances and waits until every node runs again. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
    await Promise.all(this.pending);
    await this.world.platform.clearFaults();
  }

  getCounts(): IDisturbances {
    const { kills, pauses, lostResponses } = this;
    return { kills, pauses, lostResponses };
  }

  private async runUntilStopped(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await sleep(this.random.getExponential(SPACING_MS));
      const choice = this.random.getFloat();
      if (choice < KILL_SHARE) this.track(this.endRandomNode());
      else if (choice < PAUSE_SHARE) this.track(this.stopRandomNode());
      else await this.startResponseLoss();
    }
  }

  private track(action: Promise<void>): void {
    const done = action.finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  private pickNode(): NodeProcess | undefined {
    const nodes = this.world.getNodes().filter(({ child }) => !child.isStopped());
    return nodes.length < MIN_NODES ? undefined : nodes[this.random.getInteger(nodes.length)];
  }

  private async endRandomNode(): Promise<void> {
    const node = this.pickNode();
    if (node === undefined) return;
    this.kills += 1;
    await this.world.endNode(node);
    // Doesn't wait until the node is ready: it may be killed before that.
    await this.world.startNextNode();
  }

  private async stopRandomNode(): Promise<void> {
    const node = this.pickNode();
    const pauseMs = PAUSES_MS[this.random.getInteger(PAUSES_MS.length)] ?? 0;
    if (node === undefined) return;
    this.pauses += 1;
    node.child.sendSignal('SIGSTOP');
    await sleep(pauseMs);
    node.child.sendSignal('SIGCONT');
  }

  private async startResponseLoss(): Promise<void> {
    const loseNextAnswers = 1 + this.random.getInteger(MAX_LOST_RESPONSES);
    this.lostResponses += loseNextAnswers;
    await this.world.platform.setFaults({ loseNextAnswers });
  }
}
