/** One target on simulated time: slots, a short queue, and epochs in which it fails. */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { IScenario, ISimulatedService } from './scenario.js';
import { listEvents } from './scenario.js';

const OK = 200;
const FAILED = 500;
const SHED = 503;

/** What a target makes of one request. */
export interface IModelledAnswer {
  readonly status: number;
  readonly notRun: boolean;
}

interface IJob {
  readonly workMs: number;
  readonly answer: (answer: IModelledAnswer) => void;
  isCancelled: boolean;
}

/** Options of a {@link ModelledTarget}. */
export interface IModelledTargetOptions {
  readonly id: string;
  /** Position among the targets of its service. */
  readonly index: number;
  readonly scenario: IScenario;
  readonly service: ISimulatedService;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Draws its own luck, so that two policies that send it different requests still meet the same
 * epochs.
 *
 * @example
 * const job = target.accept(workMs, (answer) => resolve(answer));
 */
export class ModelledTarget {
  arrivals = 0;
  failures = 0;
  private running = 0;
  private readonly waiting: IJob[] = [];
  private readonly offsetMs: number;
  private readonly epochs: boolean[] = [];

  constructor(readonly options: IModelledTargetOptions) {
    const { random, service } = options;
    this.offsetMs = random.getFloat() * service.gray.everyMs;
  }

  /** Whether nothing listens at its address now. */
  isDown(): boolean {
    return this.isConcerned('crash');
  }

  isDraining(): boolean {
    return this.isConcerned('drain');
  }

  /** Whether it is failing by itself now. */
  isFailing(): boolean {
    if (this.isConcerned('fail')) return true;
    const { clock, random, service } = this.options;
    const epoch = Math.floor((clock.getMonotonicTime() + this.offsetMs) / service.gray.everyMs);
    while (this.epochs.length <= epoch) {
      this.epochs.push(random.getFloat() < service.gray.share);
    }
    return this.epochs[epoch] === true;
  }

  /** Takes a request; `luck` from 0 to 1 decides whether it fails. Disposing drops it. */
  accept(workMs: number, luck: number, answer: (answer: IModelledAnswer) => void): IDisposable {
    const { clock, service } = this.options;
    this.arrivals += 1;
    const isFailing = this.isFailing();
    if (luck < (isFailing ? service.gray.failShare : service.errorShare)) {
      this.failures += 1;
      // It does no work, so it takes no slot either.
      const { failMs } = service.gray;
      return clock.startTimer(failMs, () => {
        answer({ status: FAILED, notRun: false });
      });
    }
    const job: IJob = { workMs: workMs * this.getSlowness(), answer, isCancelled: false };
    if (this.running < service.slots) this.run(job);
    else if (this.waiting.length < service.queue) this.waiting.push(job);
    else answer({ status: SHED, notRun: true });
    return {
      dispose: () => {
        job.isCancelled = true;
      },
    };
  }

  private run(job: IJob): void {
    this.running += 1;
    this.options.clock.startTimer(job.workMs, () => {
      this.running -= 1;
      if (!job.isCancelled) job.answer({ status: OK, notRun: false });
      this.startNext();
    });
  }

  private startNext(): void {
    const next = this.waiting.shift();
    if (next === undefined) return;
    if (next.isCancelled) this.startNext();
    else this.run(next);
  }

  private getSlowness(): number {
    const { clock, scenario, service } = this.options;
    return listEvents(scenario, 'slow', service.name, clock.getMonotonicTime())
      .filter(({ share = 0 }) => this.options.index < share * service.targets)
      .reduce((product, { factor = 1 }) => product * factor, 1);
  }

  private isConcerned(kind: 'crash' | 'drain' | 'fail'): boolean {
    const { clock, index, scenario, service } = this.options;
    // The last ones, so that a slow target and a lost one are different targets.
    const fromEnd = service.targets - 1 - index;
    return listEvents(scenario, kind, service.name, clock.getMonotonicTime()).some((event) => {
      return fromEnd < (event.share ?? 0) * service.targets;
    });
  }
}
