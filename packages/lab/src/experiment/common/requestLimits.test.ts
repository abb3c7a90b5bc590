import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listViolations, runScenario } from '../test/scenarioRuns.js';

test('a request that crashes the targets that run it is held back before it takes the service', async () => {
  // Symptom: half of the targets of a service are down at any moment, and callers of other requests get
  // failures or are refused. Sequence: a caller sends a request under which a target's process ends; the
  // entry sends it to a second target; the same request comes again at another node a second later.
  // Cause: nothing remembers a request beyond its answer. Each copy is a new one, and is granted the target
  // that is believed soundest, for only targets are judged by outcomes.
  // Proof: copies of one fingerprint in the nodes' logs, granted at low suspicion by one home all along.
  assert.deepEqual(await listViolations('crashing-request', 'crashes', [1, 2]), []);
});

test('such a request stays held back when its home is lost and nodes start anew', async () => {
  // The same while the home of its service is cut off, all nodes are restarted four at a time, and at last
  // lose power at once: what is known of the request must outlive each of them.
  assert.deepEqual(await listViolations('crashing-request-restarts', 'crashes', [1, 2]), []);
});

test('no harmless request is held back while racks lose power again and again', async () => {
  // Targets of all services are lost every few seconds, all of them once, while callers repeat what
  // failed and ask for popular things again and again.
  for (const seed of [1, 2, 3]) {
    const { heldBack } = await runScenario('crashes-of-their-own', seed);
    assert.equal(heldBack, 0, `seed ${seed}`);
  }
});

test('a node sends nothing to a target that has told it that it leaves', async () => {
  // Symptom: a node sends a request to a target 4 s after it passed on an answer of it which says that it
  // leaves. Sequence: the target writes to the store that it leaves; the store is away for seconds, so
  // no list says so; the target says it in each answer. Cause: only the list is believed, answers are
  // not looked at. Proof: logs of that time have grants of the target, and no line that it leaves.
  assert.deepEqual(await listViolations('told-leaving', 'drain', [1, 2]), []);
});

test('a target that asks to be left alone for some seconds is left alone', async () => {
  // Symptom: a target that sheds a request and says for how long it wants none gets the next one from the
  // same node 100 ms later. Cause: how long a shed target is spared is fixed, whatever it says.
  assert.deepEqual(await listViolations('told-to-wait', 'wait', [1, 2]), []);
});

test('a target that names a limit gets no more from all nodes together', async () => {
  // Guards against limits in answers that nobody reads, or that each node keeps to by itself.
  assert.deepEqual(await listViolations('named-limits-calm', 'rate', [1, 2]), []);
});

test('a named limit holds while homes are lost and nodes start anew', async () => {
  // Guards against a home that takes over and does not know the limit, or what was sent before it.
  assert.deepEqual(await listViolations('named-limits', 'rate', [1, 2]), []);
});
