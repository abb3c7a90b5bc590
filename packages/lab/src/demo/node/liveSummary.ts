/** Prints the outcomes, latencies and rate of the callers' requests every two seconds. */
import type { IDisposable } from '@parsleymux/base';
import type { LoadGenerator } from '../../load/node/loadGenerator.js';
import type { LabWorld } from '../../processes/node/labWorld.js';
import type { ReadyBalancer } from '../../processes/node/readyBalancer.js';

const INTERVAL_MS = 2000;

/** Options of a {@link LiveSummary}. */
export interface ILiveSummaryOptions {
  readonly load: LoadGenerator;
  readonly world: LabWorld;
  readonly balancer: ReadyBalancer;
}

/**
 * Prints a line per interval until it is disposed.
 *
 * @example
 * store.add(new LiveSummary({ load, world, balancer }));
 */
export class LiveSummary implements IDisposable {
  private readonly options: ILiveSummaryOptions;
  private readonly startMs = performance.now();
  private readonly timer: NodeJS.Timeout;
  private lastCount = 0;

  constructor(options: ILiveSummaryOptions) {
    this.options = options;
    this.timer = setInterval(() => {
      this.print();
    }, INTERVAL_MS);
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  private print(): void {
    const { load, world, balancer } = this.options;
    const count = load.getRecords().length;
    const perSecond = ((count - this.lastCount) * 1000) / INTERVAL_MS;
    this.lastCount = count;
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(0).padStart(4);
    const outcomes = load
      .summarize()
      .map(({ outcome, count: total, p50Ms, p99Ms }) => {
        return `${outcome} ${total} (p50 ${p50Ms} ms, p99 ${p99Ms} ms)`;
      })
      .join('; ');
    const nodes = `${balancer.getReadyCount()}/${world.getNodes().length} nodes ready`;
    console.log(`${seconds} s  ${nodes}  ${perSecond.toFixed(0)}/s  ${outcomes}`);
  }
}
