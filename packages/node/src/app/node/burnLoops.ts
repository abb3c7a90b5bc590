/** Records this node's requests for the report on the burn rate of service-level objectives. */
import type { Clock, DisposableStore } from '@parsleymux/base';
import { BurnMerger, BurnRecorder, registerBurnMetrics } from '@parsleymux/operators';
import type { NodeMetrics } from '../../metrics/node/nodeMetrics.js';
import type { INodeCore } from './nodeCore.js';

/** Options of {@link runBurnLoops}. */
export interface IBurnLoopsOptions {
  readonly core: INodeCore;
  readonly metrics: NodeMetrics;
  readonly clock: Clock;
  readonly store: DisposableStore;
}

/**
 * Runs until `signal` aborts, and then writes the remaining counts.
 *
 * @example
 * const running = runBurnLoops({ core, metrics, clock, store }, signal);
 */
export async function runBurnLoops(options: IBurnLoopsOptions, signal: AbortSignal): Promise<void> {
  const { core, metrics, clock, store } = options;
  const { config, random, platform } = core;
  const shared = { table: platform.table, config, random, clock };
  const recorder = new BurnRecorder(shared);
  registerBurnMetrics(metrics.registry, recorder);
  store.add(
    metrics.onDidRecordRequest((record) => {
      recorder.record(record);
    }),
  );
  await Promise.all([recorder.run(signal), new BurnMerger(shared).run(signal)]);
}
