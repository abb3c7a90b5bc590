import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { FailoverNode } from '../test/failoverFleet.js';
import { FailoverFleet, NodeCondition } from '../test/failoverFleet.js';

async function openFleet(context: TestContext) {
  const fleet = await FailoverFleet.open(5);
  context.after(() => fleet.stop());
  const [home, next] = fleet.listCandidates();
  return { fleet, home: home!, next: next!, entry: fleet.getEntry() };
}

/** Serves `count` requests at intervals of 50 ms; returns how many of them tried `node`. */
async function countTries(
  fleet: FailoverFleet,
  entry: FailoverNode,
  node: FailoverNode,
  count: number,
) {
  let tries = 0;
  for (let index = 0; index < count; index += 1) {
    const { tried } = await fleet.serve(entry);
    if (tried.includes(node.address)) tries += 1;
    await fleet.clock.advanceBy(50);
  }
  return tries;
}

test('when the home is killed, the next candidate serves every request, directly from the third on', async (context) => {
  // Guards against requests that fail or wait for a crashed home until the platform's list is updated.
  // It arises when the entry relies on the list, which here shows the home as live throughout, or gives
  // up after the first candidate.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Killed;
  for (let request = 0; request < 10; request += 1) {
    const { latencyMs, tried } = await fleet.serve(entry);
    assert.equal(tried.at(-1), next.address);
    assert.equal(tried.length, request < 2 ? 2 : 1);
    assert.ok(latencyMs <= 10);
  }
  assert.equal(next.home.served, 10);
});

test('when the home is paused, two requests wait for it, and no later ones', async (context) => {
  // Guards against every request taking seconds. It arises when missing heartbeats do not count as a
  // failure, although the stopped process of the home still accepts connections.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Paused;
  const times = [];
  for (let request = 0; request < 4; request += 1) times.push((await fleet.serve(entry)).latencyMs);
  assert.ok(times[0]! >= 800 && times[1]! >= 800);
  assert.ok(times[2]! <= 10 && times[3]! <= 10);
  assert.equal(next.home.served, 4);
});

test('a home that recovers gets its requests again, and gets none twice', async (context) => {
  // Guards against two nodes permanently acting as the home after a pause, each with half of the
  // evidence, and against a home that is never used again. Both arise when the suspicion against a home
  // that was paused, skipped and resumed does not expire.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Paused;
  for (let request = 0; request < 3; request += 1) await fleet.serve(entry);
  home.condition = NodeCondition.Up;
  await fleet.clock.advanceBy(1000);
  await fleet.serve(entry);
  assert.equal(home.home.served, 1);
  assert.equal(next.home.served, 3);
});

test('when a path is partitioned one way, only the entry on it uses the next candidate', async (context) => {
  // Guards against an entry that keeps sending to a home that it can't reach because it still receives
  // calls from it. Responses of the home to this entry are lost, but the home's own calls arrive. Only
  // completed exchanges may count as contact.
  const { fleet, home, next, entry } = await openFleet(context);
  fleet.partitions.add(`${home.address} ${entry.address}`);
  await countTries(fleet, entry, home, 2);
  const { tried } = await fleet.serve(entry);
  assert.deepEqual(tried, [next.address]);
  const other = fleet.listCandidates()[4]!;
  assert.deepEqual((await fleet.serve(other)).tried, [home.address]);
});

test('an overloaded home stays the home if it responds to most requests, but not if to none', async (context) => {
  // Guards against a cascade of overload: a busy home that leaves one hop in four unanswered is
  // considered failed after a single missing response, and its requests overload the next home.
  const { fleet, home, entry } = await openFleet(context);
  home.unansweredShare = 0.25;
  const tries = await countTries(fleet, entry, home, 60);
  assert.ok(tries >= 55, `${tries} of 60 requests tried the home`);
  home.unansweredShare = 1;
  await countTries(fleet, entry, home, 2);
  assert.equal(await countTries(fleet, entry, home, 5), 0);
});

test('a home that shuts down gets one more request per entry, served by the next candidate', async (context) => {
  // Guards against requests that a node rejects because it shuts down until the lagging list omits it.
  // It arises when an entry ignores the node's own notice of its shutdown.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.ShuttingDown;
  assert.deepEqual((await fleet.serve(entry)).tried, [home.address, next.address]);
  assert.deepEqual((await fleet.serve(entry)).tried, [next.address]);
});

test('when the list lags by minutes, crashed nodes are skipped immediately', async (context) => {
  // Guards against requests that fail for as long as the list lags. It arises when the entry relies on
  // the list, which still contains two crashed nodes of five.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Killed;
  next.condition = NodeCondition.Killed;
  const third = fleet.listCandidates()[2]!;
  let retried = 0;
  for (let second = 0; second < 120; second += 1) {
    const { latencyMs, tried } = await fleet.serve(entry);
    assert.ok(latencyMs <= 10);
    if (tried.length > 1) retried += 1;
    await fleet.clock.advanceBy(1000);
  }
  assert.equal(third.home.served, 120);
  assert.ok(retried <= 20, `${retried} of 120 requests tried a crashed node`);
});

test('a flapping home is tried less and less often', async (context) => {
  // Guards against a constant share of requests that wait for a home that is up every other second, here
  // for two minutes. It arises when each suspicion expires after the same short time.
  const { fleet, home, entry } = await openFleet(context);
  const slow = [0, 0];
  const startMs = fleet.clock.getMonotonicTime();
  for (;;) {
    const passedMs = fleet.clock.getMonotonicTime() - startMs;
    if (passedMs >= 120_000) break;
    home.condition = passedMs % 2000 < 1000 ? NodeCondition.Paused : NodeCondition.Up;
    const { latencyMs } = await fleet.serve(entry);
    const minute = passedMs < 60_000 ? 0 : 1;
    if (latencyMs > 100) slow[minute]! += 1;
    await fleet.clock.advanceBy(50);
  }
  assert.ok(slow[0]! + slow[1]! <= 24, `${slow.join(' and ')} slow requests`);
});
