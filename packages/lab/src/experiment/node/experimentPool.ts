/** Runs many simulations on a pool of worker threads. */
import { Worker } from 'node:worker_threads';
import type { IRunResult } from '../common/runRecorder.js';
import type { IScenario } from '../common/scenario.js';

const WORKER_MODULE = new URL('./experimentWorker.js', import.meta.url);

/** One simulation run. */
export interface IExperimentJob {
  readonly scenario: IScenario;
  readonly policy: string;
  readonly seed: number;
}

/**
 * Runs the jobs on `threads` workers. Resolves with the results in the order of the jobs.
 *
 * @example
 * const results = await runExperiments(jobs, 4);
 */
export async function runExperiments(
  jobs: readonly IExperimentJob[],
  threads: number,
): Promise<readonly IRunResult[]> {
  const results: IRunResult[] = [];
  let next = 0;
  const runThread = async () => {
    const worker = new Worker(WORKER_MODULE);
    try {
      for (let index = next++; index < jobs.length; index = next++) {
        results[index] = await runOn(worker, jobs[index]);
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: threads }, runThread));
  return results;
}

function runOn(worker: Worker, job: IExperimentJob | undefined): Promise<IRunResult> {
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (result: IRunResult) => {
      worker.off('error', reject);
      resolve(result);
    });
    worker.postMessage(job);
  });
}
