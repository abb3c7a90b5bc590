/** Kills or pauses a simulated process between any two of its steps, for tests. */
import type { IDisposable } from '@parsleymux/base';
import { Clock, toDisposable } from '@parsleymux/base';
import type {
  IScanOptions,
  ITableRow,
  ITableTransaction,
  ITransactionResult,
} from '@parsleymux/store';
import { TableService } from '@parsleymux/store';

/** Fault of a process. */
export interface IProcessFault {
  /** Number of the step before which the fault occurs, starting at 1. */
  readonly step: number;
  /** Duration of the pause in ms; undefined kills the process. */
  readonly pauseMs: number | undefined;
}

/** Gate through which everything that a process waits for passes. Each call of `advance` is a step. */
export class ProcessGate {
  isDead = false;
  private steps = 0;
  private resumed: Promise<void> | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly fault: IProcessFault | undefined,
  ) {}

  getStepCount(): number {
    return this.steps;
  }

  /** Resolves when the process may continue; never resolves if it is dead. */
  async advance(): Promise<void> {
    this.steps += 1;
    if (this.steps === this.fault?.step) this.applyFault(this.fault);
    await this.resumed;
    if (this.isDead) await new Promise(() => undefined);
  }

  private applyFault(fault: IProcessFault): void {
    if (fault.pauseMs === undefined) this.isDead = true;
    else this.resumed = this.clock.sleep(fault.pauseMs);
  }
}

/** A clock whose timers fire only while the process is running. */
export class GatedClock extends Clock {
  constructor(
    private readonly inner: Clock,
    private readonly gate: ProcessGate,
  ) {
    super();
  }

  override getWallTime(): number {
    return this.inner.getWallTime();
  }

  override getMonotonicTime(): number {
    return this.inner.getMonotonicTime();
  }

  override startTimer(delayMs: number, callback: () => void): IDisposable {
    let isCancelled = false;
    const timer = this.inner.startTimer(delayMs, () => {
      void this.gate.advance().then(() => {
        if (!isCancelled) callback();
      });
    });
    return toDisposable(() => {
      isCancelled = true;
      void timer.dispose();
    });
  }
}

/** A table that receives requests from the process, and returns results to it, only while it is running. */
export class GatedTable extends TableService {
  constructor(
    private readonly inner: TableService,
    private readonly gate: ProcessGate,
  ) {
    super();
  }

  override read(keys: readonly string[]): Promise<readonly ITableRow[]> {
    return this.runGated(() => this.inner.read(keys));
  }

  override scan(options: IScanOptions): Promise<readonly ITableRow[]> {
    return this.runGated(() => this.inner.scan(options));
  }

  override transact(transaction: ITableTransaction): Promise<ITransactionResult> {
    return this.runGated(() => this.inner.transact(transaction));
  }

  private async runGated<T>(action: () => Promise<T>): Promise<T> {
    await this.gate.advance();
    try {
      return await action();
    } finally {
      await this.gate.advance();
    }
  }
}
