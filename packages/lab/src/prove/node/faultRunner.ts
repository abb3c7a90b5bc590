/** Injects the faults of a schedule at their times and ends them. */
import type { IDisposable } from '@parsleymux/base';
import type { FaultKind, IFaultStep } from '../common/faultSchedule.js';
import type { Injection } from './faultInjector.js';

/** Results of the steps of one kind. */
export interface IFaultCount {
  readonly kind: string;
  readonly injected: number;
  readonly skipped: number;
  /** Steps that the lab itself failed to inject or to end. */
  readonly failed: number;
}

/**
 * Runs a schedule of faults.
 *
 * @example
 * const runner = new FaultRunner((step) => startFault(step, world));
 * runner.start(schedule);
 * await runner.finish();
 */
export class FaultRunner<K extends string = FaultKind> implements IDisposable {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly pending = new Set<Promise<void>>();
  private readonly open = new Set<() => Promise<void>>();
  private readonly counts = new Map<
    string,
    { injected: number; skipped: number; failed: number }
  >();
  private readonly errors: string[] = [];

  constructor(private readonly inject: (step: IFaultStep<K>) => Promise<Injection>) {}

  start(schedule: readonly IFaultStep<K>[]): void {
    for (const step of schedule) this.startTimer(step.atMs, () => this.startStep(step));
  }

  /** Starts no further faults and ends the active ones. */
  async finish(): Promise<void> {
    this.dispose();
    await Promise.all(this.pending);
    await Promise.all([...this.open].map((end) => end()));
  }

  getCounts(): readonly IFaultCount[] {
    return [...this.counts].map(([kind, count]) => ({ kind, ...count }));
  }

  /** Returns the errors with which the lab failed to inject or end faults. */
  getErrors(): readonly string[] {
    return this.errors;
  }

  dispose(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private startTimer(delayMs: number, act: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      const done = act().finally(() => this.pending.delete(done));
      this.pending.add(done);
    }, delayMs);
    this.timers.add(timer);
  }

  private async startStep(step: IFaultStep<K>): Promise<void> {
    const count = this.ensureCount(step.kind);
    const injection = await this.tryRun(step, () => this.inject(step));
    if (injection === undefined) return;
    if (injection === 'skipped') {
      count.skipped += 1;
      return;
    }
    count.injected += 1;
    const end = async () => {
      if (this.open.delete(end)) await this.tryRun(step, injection);
    };
    this.open.add(end);
    this.startTimer(step.durationMs, end);
  }

  private async tryRun<T>(step: IFaultStep<K>, act: () => Promise<T>): Promise<T | undefined> {
    try {
      return await act();
    } catch (error) {
      this.ensureCount(step.kind).failed += 1;
      this.errors.push(`${step.kind}: ${String(error)}`);
      return undefined;
    }
  }

  private ensureCount(kind: string): { injected: number; skipped: number; failed: number } {
    const count = this.counts.get(kind) ?? { injected: 0, skipped: 0, failed: 0 };
    this.counts.set(kind, count);
    return count;
  }
}
