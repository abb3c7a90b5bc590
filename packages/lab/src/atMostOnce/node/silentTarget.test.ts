import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { DisposableStore, ResultCode, RunState } from '@parsleymux/base';
import { AttemptOutcome } from '../../load/common/requestRecord.js';
import type { IWorkload } from '../../load/common/workload.js';
import { Caller } from '../../load/node/caller.js';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import { LabWorld } from '../../processes/node/labWorld.js';

const SERVICE = 'booking';
/** A service of the same member without faults. */
const OTHER_SERVICE = 'survey';
const POLL_MS = 50;
const MAX_POLLS = 400;

test('a look-up settles the outcome of a request that a target ran without responding', async () => {
  // A booking stays "may have run" permanently if a target runs it without responding and a later retry does
  // not look up the outcome at the targets, which have recorded it.
  const store = new DisposableStore();
  try {
    const world = store.add(new LabWorld({ seed: 3, nodeCount: 3 }));
    await world.start();
    await world.applyIntents();
    const targets = world.getTargets().filter(({ service }) => service === SERVICE);
    for (const target of targets) await world.getGroup(target).setFaults(target, { oneWay: true });
    const caller = store.add(new Caller());
    const nodes = world.getNodes().map(({ addresses }) => addresses.caller);
    for (const node of nodes) await waitForConfig(caller, node);
    const workload = findWorkload(SERVICE);
    const request = {
      workload: { ...workload, timeoutMs: 800 },
      requestId: 'silent-1',
      key: 'silent-1',
      path: '/booking?n=1',
      body: Buffer.from('a booking'),
      twinAfterMs: undefined,
    };
    const first = await caller.send(nodes[0] ?? '', request);
    assert.deepEqual([first.code, first.runState], [ResultCode.TargetTimeout, RunState.MayHaveRun]);
    await world.clearTargetFaults();
    const retries = await Promise.all(nodes.map((node) => caller.send(node, request)));
    for (const retry of retries) assert.equal(retry.outcome, AttemptOutcome.Answered);
    const executions = await world.fetchExecutions();
    assert.equal(executions.filter(({ key }) => key === request.key).length, 1);
  } finally {
    await store.dispose();
  }
});

function findWorkload(service: string): IWorkload {
  const workload = makeWorkloads().find(({ service: name }) => name === service);
  assert.ok(workload);
  return workload;
}

/** Waits until the node serves another service of the member, which shows that it has the configuration. */
async function waitForConfig(caller: Caller, node: string): Promise<void> {
  const workload = findWorkload(OTHER_SERVICE);
  const request = { workload, path: '/survey', body: Buffer.from(''), twinAfterMs: undefined };
  for (let poll = 1; poll <= MAX_POLLS; poll += 1) {
    const sent = { ...request, requestId: `ready-${node}-${poll}`, key: '' };
    if ((await caller.send(node, sent)).outcome === AttemptOutcome.Answered) return;
    await sleep(POLL_MS);
  }
  assert.fail(`${node} did not get the configuration`);
}
