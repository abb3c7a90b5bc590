/** The lab's world with faulty links in front of the platform and of every target. */
import type { IDisposable } from '@parsleymux/base';
import { DisposableStore } from '@parsleymux/base';
import { FaultyLink } from '@parsleymux/standins';
import { LabWorld } from '../../processes/node/labWorld.js';
import { Findings } from '../common/findings.js';
import { GracefulShutdowns } from './gracefulShutdowns.js';
import { DrainedTargets } from './drainedTargets.js';

/** Options of a {@link ProveWorld}. */
export interface IProveWorldOptions {
  readonly seed: number;
  /** Module that nodes load first and that disables a mechanism in them. */
  readonly breakModule?: string;
}

/**
 * The system under test, on which fault injectors act.
 *
 * @example
 * const world = new ProveWorld({ seed: 1 });
 * await world.start();
 * await world.dispose();
 */
export class ProveWorld implements IDisposable {
  readonly lab: LabWorld;
  readonly findings = new Findings();
  readonly drainedTargets = new DrainedTargets();
  readonly shutdowns = new GracefulShutdowns();
  private readonly store = new DisposableStore();
  private readonly platformLinks: FaultyLink[] = [];
  private readonly targetLinks: FaultyLink[] = [];
  private isEnding = false;

  constructor(options: IProveWorldOptions) {
    const { breakModule } = options;
    this.lab = new LabWorld({
      seed: options.seed,
      nodeOptions: breakModule === undefined ? [] : ['--import', breakModule],
      choosePlatformAddress: (address) => this.openLink(address, this.platformLinks),
      chooseTargetAddress: (target) => this.openLink(target.address, this.targetLinks),
    });
  }

  async start(): Promise<void> {
    await this.lab.start();
    await this.lab.applyIntents();
  }

  /** Returns the links between nodes and platform, in the order in which the nodes were started. */
  getPlatformLinks(): readonly FaultyLink[] {
    return this.platformLinks;
  }

  getTargetLinks(): readonly FaultyLink[] {
    return this.targetLinks;
  }

  /** Starts a replacement node unless the run is ending. It may start during an outage. */
  async addNode(): Promise<void> {
    if (!this.isEnding) await this.lab.startNextNode();
  }

  /** Submits and confirms the member's default intent again; during an outage this may have no effect. */
  async restoreIntent(member: string): Promise<void> {
    const file = await this.lab.writeIntent(member, this.lab.getTargets());
    const operator = this.lab.getOperator(member);
    const submitted = await operator.run(['intent', 'submit', file]);
    const id = (submitted.output as { readonly id?: string } | undefined)?.id;
    if (submitted.exitCode !== 0 || id === undefined) return;
    this.drainedTargets.startConfirmation(member, Date.now());
    await operator.run(['plan', 'confirm', id]);
  }

  /** Ends all faults that are still active. */
  async clearFaults(): Promise<void> {
    this.isEnding = true;
    for (const { child } of this.lab.getNodes()) child.sendSignal('SIGCONT');
    await this.lab.platform.clearFaults();
    await this.lab.clearTargetFaults();
    for (const link of [...this.platformLinks, ...this.targetLinks]) {
      await link.setFaults({ cutForward: false, cutBackward: false, refuse: false, delayMs: 0 });
    }
  }

  async dispose(): Promise<void> {
    this.isEnding = true;
    await this.lab.dispose();
    await this.store.dispose();
  }

  private async openLink(to: string, links: FaultyLink[]): Promise<string> {
    const link = this.store.add(new FaultyLink({ to }));
    await link.start();
    links.push(link);
    return link.getAddress();
  }
}
