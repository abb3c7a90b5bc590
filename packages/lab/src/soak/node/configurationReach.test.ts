import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { SeededRandom } from '@parsleymux/base';
import { SoakCaller, probeVersion } from './soakCaller.js';
import type { SoakNode } from './soakNode.js';
import { SoakWorld } from './soakWorld.js';

/** Three nodes in each of the first two failure domains, one in the third. */
const NODE_COUNT = 7;
/** A node that hasn't received a change by then, in ms, never does. */
const LIMIT_MS = 15_000;
const CHECK_MS = 100;
const MEMBERS_TABLE = 'parsleymux-members';

async function openWorld(t: TestContext): Promise<SoakWorld> {
  const world = new SoakWorld({ seed: 1, nodeCount: NODE_COUNT, targetsPerService: 2 });
  t.after(() => world.dispose());
  await world.start();
  return world;
}

/** Cuts a node off from the store; other nodes still reach it. */
async function cutStoreLink({ link }: SoakNode): Promise<void> {
  await link.setFaults({ cutForward: true, cutBackward: true });
}

/** Waits until the registration of a node has been removed. */
async function waitForRemoval(world: SoakWorld): Promise<void> {
  const endMs = performance.now() + LIMIT_MS;
  while (world.store.rows.list(MEMBERS_TABLE, '', '').length === NODE_COUNT) {
    assert.ok(performance.now() < endMs, 'no registration was removed');
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
  }
}

/** Writes the next configuration, and lists the nodes that don't handle requests by it. */
async function listNodesWithoutChange(world: SoakWorld): Promise<readonly string[]> {
  world.putConfig();
  const version = world.versions[world.versions.length - 1]?.version ?? 0;
  const endMs = performance.now() + LIMIT_MS;
  const missing = new Set(world.nodes);
  let count = 0;
  while (missing.size > 0 && performance.now() < endMs) {
    for (const node of missing) {
      count += 1;
      const isFound = await probeVersion(node, version, `probe-${count}`, world.ledger);
      if (isFound === true) missing.delete(node);
    }
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
  }
  return [...missing].map(({ name }) => name);
}

test('a failure domain without a path to the store gets changes from the others', async (t) => {
  // Guards against a whole failure domain that serves an old configuration while all others have a newer one.
  const world = await openWorld(t);
  const nodes = world.nodes.filter(({ failureDomain }) => failureDomain === 'south');
  assert.ok(nodes.length > 1);
  for (const node of nodes) await cutStoreLink(node);
  assert.deepEqual(await listNodesWithoutChange(world), []);
});

test('a node that its peers have removed gets changes although it can not read the store', async (t) => {
  // Guards against a node that nobody sends updates, because it was silent for some seconds.
  const world = await openWorld(t);
  const [node] = world.nodes;
  assert.ok(node);
  node.sendSignal('SIGSTOP');
  await waitForRemoval(world);
  await cutStoreLink(node);
  node.sendSignal('SIGCONT');
  assert.deepEqual(await listNodesWithoutChange(world), []);
});

test('changes are in force although reads of changes state an earlier epoch than other reads', async (t) => {
  // Guards against nodes that drop each response of the store as outdated, and never read the table whole.
  const world = await openWorld(t);
  world.store.restore(world.store.rows.copy());
  world.store.feedEra = world.store.rows.era - 1;
  // Reads that the store already holds return the first change.
  await listNodesWithoutChange(world);
  assert.deepEqual(await listNodesWithoutChange(world), []);
});

test('a change that a read of the store lacks is fetched from other nodes', async (t) => {
  // Guards against a failure domain whose follower never learns of a change, because a read has skipped it.
  const world = await openWorld(t);
  const stopped = new AbortController();
  const random = new SeededRandom(1);
  const callers = Array.from({ length: NODE_COUNT }, (_, index) => {
    const pickNode = () => world.nodes[index];
    const caller = { name: `c${index}`, random, ledger: world.ledger, pauseMs: CHECK_MS, pickNode };
    return new SoakCaller(caller).run(stopped.signal);
  });
  world.store.emptyReads = 1;
  const missing = await listNodesWithoutChange(world);
  stopped.abort();
  await Promise.all(callers);
  assert.equal(world.store.emptyReads, 0);
  assert.deepEqual(missing, []);
});
