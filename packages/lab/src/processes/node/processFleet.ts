/** Manages the lab's child processes, none of which outlives the lab process, however that ends. */
import type { IDisposable } from '@parsleymux/base';
import type { IManagedProcessOptions } from './managedProcess.js';
import { ManagedProcess } from './managedProcess.js';

const DEFAULT_GRACE_MS = 5000;
/** Exit code of a program ended by SIGINT, by the shell's convention. */
const INTERRUPTED = 130;

/** Options of a {@link ProcessFleet}. */
export interface IProcessFleetOptions {
  /** Time that children get to exit after SIGTERM, in ms. Default 5000. */
  readonly graceMs?: number;
  /** End the children and the lab on SIGINT and SIGTERM. Default true. When false, the owner must do it. */
  readonly handleSignals?: boolean;
}

/**
 * Starts child processes and ends all of them when disposed.
 *
 * @example
 * const fleet = new ProcessFleet();
 * const child = fleet.start({ name: 'platform', script: 'main.js' });
 * await child.waitForReady();
 * await fleet.dispose();
 */
export class ProcessFleet implements IDisposable {
  private readonly graceMs: number;
  private readonly children = new Set<ManagedProcess>();
  private readonly onExit = () => {
    this.endAll();
  };
  private readonly onSignal = () => {
    void this.dispose().finally(() => process.exit(INTERRUPTED));
  };
  private disposing: Promise<void> | undefined;

  constructor(options: IProcessFleetOptions = {}) {
    this.graceMs = options.graceMs ?? DEFAULT_GRACE_MS;
    // A child that is stopped by SIGSTOP doesn't handle SIGTERM and would never end, so children that
    // are left at exit are killed with SIGKILL.
    process.once('exit', this.onExit);
    if (options.handleSignals === false) return;
    process.once('SIGINT', this.onSignal);
    process.once('SIGTERM', this.onSignal);
  }

  start(options: IManagedProcessOptions): ManagedProcess {
    const child = new ManagedProcess(options);
    this.children.add(child);
    void child.waitForEnd().then(() => this.children.delete(child));
    return child;
  }

  /** Lists the children that are still running. */
  getRunning(): readonly ManagedProcess[] {
    return [...this.children];
  }

  dispose(): Promise<void> {
    this.disposing ??= this.stopAll();
    return this.disposing;
  }

  private async stopAll(): Promise<void> {
    await Promise.all([...this.children].map((child) => child.stop(this.graceMs)));
    process.off('exit', this.onExit);
    process.off('SIGINT', this.onSignal);
    process.off('SIGTERM', this.onSignal);
  }

  private endAll(): void {
    for (const child of this.children) child.sendSignal('SIGKILL');
  }
}
