import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listViolations, runScenario } from '../test/scenarioRuns.js';

/** Share served at nodes without a path from 1 s after the loss, relative to the others. */
const MIN_RELATIVE_SERVED = 0.95;

test('a request that crashes targets is quarantined before it takes down the service', async () => {
  // Guards against a poison request that keeps half of a service's targets down. The entry retries it at a
  // second target, and its caller repeats it at another node. Without a record per fingerprint each copy
  // counts as a new request and is granted the healthiest target.
  assert.deepEqual(await listViolations('crashing-request', 'crashes', [1, 2]), []);
});

test('a request stays quarantined when its home is lost and nodes restart', async () => {
  // Guards against losing a quarantine decision. The home of the request's service is partitioned, all nodes
  // restart in batches of four, and finally all nodes lose power at the same time: the decision must
  // survive each of these.
  assert.deepEqual(await listViolations('crashing-request-restarts', 'crashes', [1, 2]), []);
});

test('no harmless request is quarantined while racks lose power repeatedly', async () => {
  // Guards against quarantining requests that were merely running when their target lost power. Targets of
  // all services lose power every few seconds, once all of them together, while callers retry failed
  // requests and send popular requests many times.
  for (const seed of [1, 2, 3]) {
    const { heldBack } = await runScenario('crashes-of-their-own', seed);
    assert.equal(heldBack, 0, `seed ${seed}`);
  }
});

test('a node sends nothing to a target whose draining notice it has received', async () => {
  // Guards against nodes that read draining only from the list of targets and ignore the notice in
  // responses. While the store is unavailable, the list doesn't show that a target is draining.
  assert.deepEqual(await listViolations('told-leaving', 'drain', [1, 2]), []);
});

test('a target that requests a wait gets no requests during it', async () => {
  // Guards against a fixed pause after a shed request: a node must honor the time that the target requests
  // in its response, instead of sending the next request 100 ms later.
  assert.deepEqual(await listViolations('told-to-wait', 'wait', [1, 2]), []);
});

test('all nodes together keep to the limit that a target advertises', async () => {
  // Guards against limits in responses that are ignored, or that each node applies for itself alone.
  assert.deepEqual(await listViolations('named-limits-calm', 'rate', [1, 2]), []);
});

test('an advertised limit holds while homes are lost and nodes restart', async () => {
  // Guards against a new home that lacks the limit or the count of requests granted before it took over.
  assert.deepEqual(await listViolations('named-limits', 'rate', [1, 2]), []);
});

for (const scenario of ['path-loss', 'path-loss-domain', 'path-loss-most']) {
  test(`callers of nodes without a path to the targets are served like those of the others: ${scenario}`, async () => {
    // Guards against nodes that refuse their callers while their peers have a path to the targets.
    for (const seed of [1, 2]) {
      const { pathLoss, violations } = await runScenario(scenario, seed);
      const affected = pathLoss.affectedServed / pathLoss.affected;
      const others = pathLoss.othersServed / pathLoss.others;
      assert.ok(affected >= MIN_RELATIVE_SERVED * others, `seed ${seed}: ${affected}, ${others}`);
      assert.deepEqual(violations, []);
    }
  });
}
