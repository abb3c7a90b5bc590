/** Worker thread that runs one replay for each job it receives. */
import { parentPort } from 'node:worker_threads';
import { buildTrace } from '../../trace/common/traceGenerator.js';
import { createPolicyDetector } from '../common/policies.js';
import { replayTrace } from '../common/replayTrace.js';
import type { IReplayJob } from './replayPool.js';

parentPort?.on('message', (job: IReplayJob) => {
  void run(job);
});

async function run(job: IReplayJob): Promise<void> {
  const { policy, seed } = job;
  const trace = buildTrace(job.trace, seed);
  const { detection } = trace.header.service;
  const createDetector = () => createPolicyDetector(policy, detection, job.settings);
  parentPort?.postMessage(await replayTrace(trace, { policy, seed, createDetector }));
}
