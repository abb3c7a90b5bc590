import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { DisposableStore } from '@parsleymux/base';
import { compareOutcomes } from '../../load/common/outcomeComparison.js';
import { AttemptOutcome, getFinalAttempt } from '../../load/common/requestRecord.js';
import { LoadGenerator } from '../../load/node/loadGenerator.js';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import { LabWorld } from '../../processes/node/labWorld.js';
import { parseCounter, readViolations } from '../../processes/node/nodeMetrics.js';
import { ReadyBalancer } from '../../processes/node/readyBalancer.js';

const SEED = 31;
const PHASE_MS = 2500;
/** Time for targets to finish work that callers no longer wait for, in ms. */
const REST_MS = 500;

async function sumCounter(world: LabWorld, name: string): Promise<number> {
  const pages = await Promise.all(world.getNodes().map((node) => node.fetchMetrics()));
  return pages.reduce((sum, page) => sum + parseCounter(page ?? '', name), 0);
}

async function waitUntilServing(world: LabWorld, load: LoadGenerator): Promise<void> {
  load.start();
  const hasAnswer = () =>
    load
      .getRecords()
      .some(({ attempts }) => getFinalAttempt(attempts)?.outcome === AttemptOutcome.Answered);
  while (!hasAnswer() && world.getNodes().length > 0) await sleep(50);
}

test('with truncated responses and silent connections every response is complete or absent', async (t) => {
  // Targets truncate three of ten responses; then every existing connection to them stops delivering data
  // while new ones work. Callers get truncated responses if the end of a connection counts as the end of a
  // response, and requests stay unanswered if a silent connection counts as an unresponsive target.
  const store = new DisposableStore();
  t.after(() => store.dispose());
  const world = store.add(new LabWorld({ seed: SEED, nodeCount: 3 }));
  await world.start();
  await world.applyIntents();
  const balancer = store.add(new ReadyBalancer(() => world.getNodes()));
  await balancer.poll();
  const load = store.add(new LoadGenerator({ workloads: makeWorkloads(), balancer, seed: SEED }));
  await waitUntilServing(world, load);

  for (const target of world.getTargets()) {
    await world.getGroup(target).setFaults(target, { truncateShare: 0.3 });
  }
  await sleep(PHASE_MS);
  await world.clearTargetFaults();
  for (const target of world.getTargets())
    await world.getGroup(target).markConnectionsSilent(target);
  await sleep(PHASE_MS);
  await load.stop();
  await sleep(REST_MS);

  const verdict = compareOutcomes(load.getRecords(), await world.fetchExecutions());
  assert.deepEqual(verdict.findings, []);
  assert.ok(verdict.requests > 0);
  assert.ok((await sumCounter(world, 'parsleymux_target_connections_retirements_total')) > 0);
  const violations = (await readViolations(world.getNodes())).filter(({ count }) => count > 0);
  assert.deepEqual(violations, []);
});
