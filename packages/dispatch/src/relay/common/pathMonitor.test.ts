import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, SeededRandom, createSilentLogger } from '@parsleymux/base';
import type { ITargetRecord } from '@parsleymux/scheduling';
import { makeTarget } from '@parsleymux/scheduling/testing';
import { PathMonitor } from './pathMonitor.js';

const CONNECT_TIMEOUT_MS = 250;
const TARGETS = ['booking', 'survey', 'materials'].flatMap((service, index) => {
  return [1, 2, 3].map((number) => makeTarget(`t${index}${number}`, { service }));
});

interface IFixture {
  readonly clock: ManualClock;
  readonly monitor: PathMonitor;
  readonly unreachable: Set<string>;
  /** Targets to which the monitor opened connections. */
  readonly checked: string[];
}

function makeMonitor(unreachable: readonly ITargetRecord[], listTargets = () => TARGETS): IFixture {
  const clock = new ManualClock();
  const ids = new Set(unreachable.map(({ id }) => id));
  const checked: string[] = [];
  const monitor = new PathMonitor({
    clock,
    random: new SeededRandom(1),
    log: createSilentLogger(),
    listTargets,
    tryConnect: async ({ id }) => {
      checked.push(id);
      if (ids.has(id)) await clock.sleep(CONNECT_TIMEOUT_MS);
      return !ids.has(id);
    },
  });
  return { clock, monitor, checked, unreachable: ids };
}

test('a failed connection while no other target can be reached is the fault of the path', async () => {
  // Guards against a node that learns target by target that it has no path to any of them.
  const { checked, clock, monitor } = makeMonitor(TARGETS);
  const verified = monitor.verifyFailure(TARGETS[0]!);
  await clock.advanceBy(CONNECT_TIMEOUT_MS);
  assert.equal(await verified, true);
  assert.equal(checked.length, 1);
  assert.notEqual(TARGETS.find(({ id }) => id === checked[0])?.service, 'booking');
});

for (const count of [1, 2, 4]) {
  test(`targets that have failed are not taken for a lost path: ${count} of 9`, async () => {
    // Guards against a node that sends through peers because some targets have crashed.
    const { clock, monitor } = makeMonitor(TARGETS.slice(0, count));
    for (const target of TARGETS.slice(0, count)) {
      const verified = monitor.verifyFailure(target);
      await clock.advanceBy(CONNECT_TIMEOUT_MS * count);
      await verified;
    }
    await clock.advanceBy(1000);
    assert.equal(monitor.isLost, false);
    assert.equal(monitor.isInDoubt, false);
  });
}

test('a path that is restored is detected within half a second', async () => {
  const { clock, monitor, unreachable } = makeMonitor(TARGETS);
  void monitor.verifyFailure(TARGETS[0]!);
  await clock.advanceBy(5000);
  assert.equal(monitor.isLost, true);
  unreachable.clear();
  await clock.advanceBy(500);
  assert.equal(monitor.isLost, false);
});

test('a path is restored although all targets that had failed are gone', async () => {
  // Guards against a node that refuses all requests for ever, after its failed targets left while it was paused.
  let targets = TARGETS;
  const { checked, clock, monitor, unreachable } = makeMonitor(TARGETS, () => targets);
  const verified = monitor.verifyFailure(TARGETS[0]!);
  await clock.advanceBy(CONNECT_TIMEOUT_MS);
  assert.equal(await verified, true);
  const failed = [TARGETS[0]!.id, ...checked];
  targets = TARGETS.filter(({ id }) => !failed.includes(id)).slice(-2);
  for (const { id } of targets) unreachable.delete(id);
  await clock.advanceBy(1000);
  assert.equal(monitor.isLost, false);
});

test('a silent target on a path that hangs is enough to detect the loss within half a second', async () => {
  // Guards against requests that hang on connections from before a partition until their deadlines.
  const { clock, monitor } = makeMonitor(TARGETS);
  void monitor.checkSilence(TARGETS[0]!);
  assert.equal(monitor.isInDoubt, true);
  await clock.advanceBy(2 * CONNECT_TIMEOUT_MS);
  assert.equal(monitor.isLost, true);
});

test('a silent target that can be reached changes nothing', async () => {
  const { clock, monitor } = makeMonitor([]);
  void monitor.checkSilence(TARGETS[0]!);
  await clock.advanceBy(1);
  assert.equal(monitor.isInDoubt, false);
  assert.equal(monitor.isLost, false);
});

test('targets that a node still reaches are used directly while its path to the others is lost', async () => {
  const { clock, monitor } = makeMonitor(TARGETS.slice(0, 8));
  void monitor.verifyFailure(TARGETS[0]!);
  await clock.advanceBy(10_000);
  assert.equal(monitor.isLost, true);
  assert.equal(monitor.hasPath(TARGETS[8]!), true);
  assert.equal(monitor.hasPath(TARGETS[1]!), false);
});

test('kept connections are in doubt for a while after one to an unreachable target has hung', async () => {
  // Guards against bookings that hang one after the other on a node that has lost its path to some targets.
  const { clock, monitor } = makeMonitor(TARGETS.slice(0, 1));
  void monitor.checkSilence(TARGETS[0]!);
  await clock.advanceBy(2 * CONNECT_TIMEOUT_MS);
  assert.equal(monitor.isLost, false);
  assert.equal(monitor.isInDoubt, true);
  await clock.advanceBy(10_000);
  assert.equal(monitor.isInDoubt, false);
});
