/** Worker thread that runs one simulation for each job it receives. */
import { parentPort } from 'node:worker_threads';
import { ExperimentRun } from '../common/experimentRun.js';
import { parsePolicy } from '../policies/policySpec.js';
import type { IExperimentJob } from './experimentPool.js';

parentPort?.on('message', (job: IExperimentJob) => {
  void runJob(job);
});

async function runJob({ policy, scenario, seed }: IExperimentJob): Promise<void> {
  const run = new ExperimentRun(scenario, parsePolicy(policy), seed);
  parentPort?.postMessage(await run.run());
}
