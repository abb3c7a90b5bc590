/** A target on simulated time with slots, a bounded queue and the faults of the trace. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { IFaultEffect, ITraceFault } from '../../trace/common/trace.js';

/** Time until a failing target responds with 500, in ms; short, since it does no work. */
const FAIL_MS = 3;
/** Length of the target's queue, as a multiple of its slots; further requests are shed. */
const QUEUE_FACTOR = 2;

/** The target's result for one request. */
export interface IWorkResult {
  readonly status: number;
  readonly isShed: boolean;
}

interface IJob {
  readonly workMs: number;
  readonly signal: AbortSignal;
  finish(result: IWorkResult): void;
}

/** Options of a {@link SimulatedTarget}. */
export interface ISimulatedTargetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly slots: number;
  readonly faults: readonly ITraceFault[];
}

/** A target that runs requests for their recorded work and applies the effects of its faults. */
export class SimulatedTarget {
  executed = 0;
  arrivals = 0;
  /** Arrivals that found no free slot. */
  collisions = 0;
  /** Arrivals that were shed. */
  sheds = 0;
  openConnections = 0;
  maxConnections = 0;
  private running = 0;
  private readonly queue: IJob[] = [];

  constructor(private readonly options: ISimulatedTargetOptions) {}

  /** Effects of all current faults, merged; a later fault of the trace overrides an earlier one. */
  getEffect(): IFaultEffect {
    const nowMs = this.options.clock.getMonotonicTime();
    let effect: IFaultEffect = {};
    for (const fault of this.options.faults) {
      if (nowMs >= fault.atMs && nowMs < fault.untilMs) effect = { ...effect, ...fault.effect };
    }
    return effect;
  }

  /** Start of the fault that makes older connections unresponsive, in ms; undefined without one. */
  getSilenceStart(): number | undefined {
    const nowMs = this.options.clock.getMonotonicTime();
    const fault = this.options.faults.find((candidate) => {
      return candidate.effect.hasSilentConnections === true && nowMs >= candidate.atMs;
    });
    return fault?.atMs;
  }

  /** Runs a request. Never resolves if the signal aborts first, which cancels the work. */
  accept(workMs: number, signal: AbortSignal): Promise<IWorkResult> {
    return new Promise((resolve) => {
      const effect = this.getEffect();
      const { random } = this.options;
      if (effect.failShare !== undefined && random.getFloat() < effect.failShare) {
        this.executed += 1;
        this.options.clock.startTimer(FAIL_MS, () => {
          resolve({ status: 500, isShed: false });
        });
        return;
      }
      this.addJob({ workMs, signal, finish: resolve }, effect);
    });
  }

  /** Records opened connections, or closed ones if `change` is negative. */
  recordConnectionChange(change: number): void {
    this.openConnections += change;
    this.maxConnections = Math.max(this.maxConnections, this.openConnections);
  }

  private addJob(job: IJob, effect: IFaultEffect): void {
    this.arrivals += 1;
    if (this.running < this.getSlots(effect)) {
      this.startJob(job, effect);
      return;
    }
    this.collisions += 1;
    const queueLimit = effect.shedAboveSlots === undefined ? QUEUE_FACTOR * this.options.slots : 0;
    if (this.queue.length >= queueLimit) {
      this.sheds += 1;
      job.finish({ status: 503, isShed: true });
      return;
    }
    this.queue.push(job);
  }

  private startJob(job: IJob, effect: IFaultEffect): void {
    this.running += 1;
    this.executed += 1;
    let isEnded = false;
    const end = () => {
      if (isEnded) return;
      isEnded = true;
      void timer.dispose();
      job.signal.removeEventListener('abort', end);
      this.running -= 1;
      this.startNext();
    };
    const timer = this.options.clock.startTimer(job.workMs * (effect.slowFactor ?? 1), () => {
      end();
      job.finish({ status: 200, isShed: false });
    });
    job.signal.addEventListener('abort', end, { once: true });
  }

  private startNext(): void {
    const effect = this.getEffect();
    while (this.running < this.getSlots(effect)) {
      const job = this.queue.shift();
      if (job === undefined) return;
      if (!job.signal.aborted) this.startJob(job, effect);
    }
  }

  private getSlots(effect: IFaultEffect): number {
    const { slots } = this.options;
    if (effect.shedAboveSlots !== undefined) return effect.shedAboveSlots;
    return Math.max(1, slots - (effect.hiddenSlots ?? 0));
  }
}
