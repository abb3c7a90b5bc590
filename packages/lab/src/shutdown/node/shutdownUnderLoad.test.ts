import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { compareOutcomes } from '../../load/common/outcomeComparison.js';
import { Balancer, LoadGenerator } from '../../load/node/loadGenerator.js';
import { makeWorkloads } from '../../processes/common/worldLayout.js';
import { LabWorld } from '../../processes/node/labWorld.js';
import type { NodeProcess } from '../../processes/node/nodeProcess.js';
import { Findings } from '../../prove/common/findings.js';
import { GracefulShutdowns } from '../../prove/node/gracefulShutdowns.js';

const UNDER_LOAD_MS = 1500;
/** Time that the balancer continues to send callers to a node that is shutting down, in ms. */
const LAG_MS = 500;
/** Notice time of the node, in ms; far above the lag, so that it suffices on a slow machine too. */
const NOTICE_MS = 2000;
/** Makes responses take about 2 s, so that requests are in flight when the notice time ends. */
const SLOW_FACTOR = 70;
/** Keeps the load of the slow targets below their slots. */
const LOAD_FACTOR = 0.3;

/** Sends callers to the nodes in its list in turn. */
class TestBalancer extends Balancer {
  private turn = 0;

  constructor(readonly nodes: NodeProcess[]) {
    super();
  }

  override pick(): string | undefined {
    this.turn += 1;
    return this.nodes[this.turn % this.nodes.length]?.addresses.caller;
  }
}

async function slowTargets(world: LabWorld): Promise<void> {
  for (const target of world.getTargets()) {
    await world.getGroup(target).setFaults(target, { slowFactor: SLOW_FACTOR });
  }
}

test('a node that is entry and home shuts down under load without interrupting requests', async () => {
  // A node that closes before its requests are finished, or before the balancer stops sending callers, resets
  // connections whenever a VM is replaced and leaves bookings without an outcome. Bookings must run once.
  const timing = { shutdownNoticeMs: NOTICE_MS };
  const world = new LabWorld({ seed: 4, nodeCount: 3, nodeTiming: timing });
  try {
    await world.start();
    await world.applyIntents();
    await slowTargets(world);
    const balancer = new TestBalancer([...world.getNodes()]);
    const load = new LoadGenerator({ workloads: makeWorkloads(LOAD_FACTOR), balancer, seed: 4 });
    const shutdowns = new GracefulShutdowns();
    const findings = new Findings();
    try {
      load.start();
      await sleep(UNDER_LOAD_MS);
      const [node] = balancer.nodes;
      assert.ok(node);
      const ended = node.child.waitForEnd();
      shutdowns.record(node.addresses.caller, Date.now(), ended);
      node.child.sendSignal('SIGTERM');
      await sleep(LAG_MS);
      balancer.nodes.shift();
      await ended;
      await load.stop();
    } finally {
      await load.dispose();
    }
    await shutdowns.checkAll(load.getRecords(), findings);
    const verdict = compareOutcomes(load.getRecords(), await world.fetchExecutions());
    assert.deepEqual(verdict.findings, []);
    assert.ok(verdict.bookings > 0);
    assert.deepEqual(
      findings.list().filter(({ violations }) => violations > 0),
      [],
    );
  } finally {
    await world.dispose();
  }
});
