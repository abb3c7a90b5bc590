/** Runs many replays on a pool of worker threads. */
import { Worker } from 'node:worker_threads';
import type { IPolicySettings, PolicyName } from '../common/policies.js';
import type { IReplayResult } from '../common/replayResult.js';

const WORKER_MODULE = new URL('./replayWorker.js', import.meta.url);

/** One replay. */
export interface IReplayJob {
  readonly trace: string;
  readonly seed: number;
  readonly policy: PolicyName;
  readonly settings?: IPolicySettings;
}

/**
 * Runs the jobs on `threads` workers. Resolves with the results in the order of the jobs.
 *
 * @example
 * const results = await runReplays(jobs, 4);
 */
export async function runReplays(
  jobs: readonly IReplayJob[],
  threads: number,
): Promise<readonly IReplayResult[]> {
  const results: IReplayResult[] = [];
  let next = 0;
  const runThread = async () => {
    const worker = new Worker(WORKER_MODULE);
    try {
      while (next < jobs.length) {
        const index = next;
        next += 1;
        results[index] = await runOn(worker, jobs[index]);
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: threads }, runThread));
  return results;
}

function runOn(worker: Worker, job: IReplayJob | undefined): Promise<IReplayResult> {
  return new Promise((resolve, reject) => {
    const onError = (error: Error) => {
      reject(error);
    };
    worker.once('error', onError);
    worker.once('message', (result: IReplayResult) => {
      worker.off('error', onError);
      resolve(result);
    });
    worker.postMessage(job);
  });
}
