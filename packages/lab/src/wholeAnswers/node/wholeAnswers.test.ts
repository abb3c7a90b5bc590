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
/** Longest wait for targets to finish what callers no longer wait for. */
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

test('cut answers and silent connections, over real nodes: every answer is whole or none', async (t) => {
  // Symptom: a buyer gets half a cut list, a crew waits for a booking that no target ever saw.
  // Sequence: targets cut three of ten answers; then every connection to the targets goes silent
  // while new ones work. Cause: an end of a connection taken for the end of an answer, and silence
  // of a connection taken for silence of its target.
  const store = new DisposableStore();
  t.after(() => store.dispose());
  const world = store.add(new LabWorld({ seed: SEED, nodeCount: 3 }));
  await world.start();
  await world.applyIntents();
  const balancer = store.add(new ReadyBalancer(() => world.getNodes()));
  await balancer.poll();
  const load = store.add(new LoadGenerator({ workloads: makeWorkloads(), balancer, seed: SEED }));
  await waitUntilServing(world, load);

  for (const place of world.getPlaces()) {
    await world.getGroup(place).setFaults(place, { truncateShare: 0.3 });
  }
  await sleep(PHASE_MS);
  await world.clearTargetFaults();
  for (const place of world.getPlaces()) await world.getGroup(place).markConnectionsSilent(place);
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
