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

/** Serves `count` requests 50 ms apart; returns how many of them tried `node`. */
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

test('a killed home: the next candidate serves from the first request on, and soon without a detour', async (context) => {
  // Symptom: requests fail, or each waits for the dead home, until the platform's list notices.
  // Sequence: the home's process dies; the list shows it as live for as long as the test lasts.
  // Cause: going by the list, or giving up at the first candidate.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Killed;
  for (let request = 0; request < 10; request += 1) {
    const { latencyMs: tookMs, tried } = await fleet.serve(entry);
    assert.equal(tried.at(-1), next.address);
    assert.equal(tried.length, request < 2 ? 2 : 1);
    assert.ok(tookMs <= 10);
  }
  assert.equal(next.home.served, 10);
});

test('a paused home: two requests wait for it, and none after', async (context) => {
  // Symptom: every request takes seconds. Sequence: the home's process is stopped; its port
  // still accepts connections. Cause: silence not taken as failure.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Paused;
  const times = [];
  for (let request = 0; request < 4; request += 1) times.push((await fleet.serve(entry)).latencyMs);
  assert.ok(times[0]! >= 800 && times[1]! >= 800);
  assert.ok(times[2]! <= 10 && times[3]! <= 10);
  assert.equal(next.home.served, 4);
});

test('a home that returns gets its requests back, and had none twice', async (context) => {
  // Symptom: after a pause two nodes are home for good, each with half of the evidence; or the
  // home is never used again. Sequence: paused, passed over, resumed. Cause: suspicion without end.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Paused;
  for (let request = 0; request < 3; request += 1) await fleet.serve(entry);
  home.condition = NodeCondition.Up;
  await fleet.clock.advanceBy(1000);
  await fleet.serve(entry);
  assert.equal(home.home.served, 1);
  assert.equal(next.home.served, 3);
});

test('a path cut one way: only the entry behind it goes on to the next candidate', async (context) => {
  // Symptom: an entry keeps sending to a home that it can't reach, because it hears from it.
  // Sequence: answers from the home to this entry are lost; the home's own calls get through.
  // Cause: taking what is heard for contact. Only completed exchanges count.
  const { fleet, home, next, entry } = await openFleet(context);
  fleet.partitions.add(`${home.address} ${entry.address}`);
  await countTries(fleet, entry, home, 2);
  const { tried } = await fleet.serve(entry);
  assert.deepEqual(tried, [next.address]);
  const other = fleet.listCandidates()[4]!;
  assert.deepEqual((await fleet.serve(other)).tried, [home.address]);
});

test('an overloaded home that answers most requests stays home; one that answers none does not', async (context) => {
  // Symptom: a busy home is declared dead, its requests move, the next home is overloaded in turn.
  // Sequence: one hop in four is left unanswered. Cause: a single silence taken for death.
  const { fleet, home, entry } = await openFleet(context);
  home.unansweredShare = 0.25;
  const tries = await countTries(fleet, entry, home, 60);
  assert.ok(tries >= 55, `${tries} of 60 requests tried the home`);
  home.unansweredShare = 1;
  await countTries(fleet, entry, home, 2);
  assert.equal(await countTries(fleet, entry, home, 5), 0);
});

test('a leaving home gets one request more from each entry, which the next candidate serves', async (context) => {
  // Symptom: requests bounce off a leaving node until the list drops it. Sequence: SIGTERM; the
  // list lags. Cause: its own word not believed.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.ShuttingDown;
  assert.deepEqual((await fleet.serve(entry)).tried, [home.address, next.address]);
  assert.deepEqual((await fleet.serve(entry)).tried, [next.address]);
});

test('a list that lags by minutes: a new node is used late, a gone one is passed over at once', async (context) => {
  // Symptom: requests fail for as long as the list lags. Sequence: two of five nodes are gone,
  // still listed. Cause: trusting the list.
  const { fleet, home, next, entry } = await openFleet(context);
  home.condition = NodeCondition.Killed;
  next.condition = NodeCondition.Killed;
  const third = fleet.listCandidates()[2]!;
  let detours = 0;
  for (let second = 0; second < 120; second += 1) {
    const { latencyMs: tookMs, tried } = await fleet.serve(entry);
    assert.ok(tookMs <= 10);
    if (tried.length > 1) detours += 1;
    await fleet.clock.advanceBy(1000);
  }
  assert.equal(third.home.served, 120);
  assert.ok(detours <= 20, `${detours} of 120 requests tried a node that was gone`);
});

test('a flapping home is met ever more rarely', async (context) => {
  // Symptom: a steady share of requests waits for a home that is up one second in two.
  // Sequence: it alternates between paused and up for two minutes. Cause: forgiving it each time
  // after the same short while.
  const { fleet, home, entry } = await openFleet(context);
  const slow = [0, 0];
  const startMs = fleet.clock.getMonotonicTime();
  for (;;) {
    const passedMs = fleet.clock.getMonotonicTime() - startMs;
    if (passedMs >= 120_000) break;
    home.condition = passedMs % 2000 < 1000 ? NodeCondition.Paused : NodeCondition.Up;
    const { latencyMs: tookMs } = await fleet.serve(entry);
    const minute = passedMs < 60_000 ? 0 : 1;
    if (tookMs > 100) slow[minute]! += 1;
    await fleet.clock.advanceBy(50);
  }
  assert.ok(slow[0]! + slow[1]! <= 24, `${slow.join(' and ')} slow requests`);
});
