import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { ManualClock, SeededRandom } from '@parsleymux/base';
import type { IVm } from '@parsleymux/store';
import { PlatformError, PlatformFailure, VmList, VmState } from '@parsleymux/store';
import { ListedMembershipService } from './listedMembershipService.js';

const SELF = 'a:1';

class FakeVmList extends VmList {
  vms: readonly IVm[] = [];
  isUnavailable = false;

  override list(): Promise<readonly IVm[]> {
    if (!this.isUnavailable) return Promise.resolve(this.vms);
    return Promise.reject(new PlatformError(PlatformFailure.Unknown, 'list is unavailable'));
  }
}

function makeVm(address: string, state: IVm['state'] = VmState.Live): IVm {
  return { address, failureDomain: 'north', state };
}

async function startMembership(context: TestContext, addresses: readonly string[]) {
  const clock = new ManualClock();
  const vms = new FakeVmList();
  vms.vms = addresses.map((address) => makeVm(address));
  const self = { address: SELF, failureDomain: 'north' };
  const random = new SeededRandom(1);
  const membership = new ListedMembershipService({ self, vms, clock, random });
  const abort = new AbortController();
  const done = membership.run(abort.signal);
  context.after(async () => {
    abort.abort();
    await done;
    membership.dispose();
  });
  await clock.advanceBy(0);
  const getLive = () => membership.getLiveNodes().map((node) => node.address);
  return { clock, vms, membership, getLive };
}

test('the live set is the listed one, sorted, and always contains this node', async (context) => {
  const { getLive } = await startMembership(context, ['c:1', 'b:1']);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
});

test('while the list is unavailable the last one stays in effect, and polls become less frequent', async (context) => {
  // Guards against nodes that lose all peers during an outage of the platform, when a failed read
  // counts as an empty list, and against a wave of polls on its recovery, when polls keep a fixed
  // rate. The list is read once, then fails for an hour.
  const { clock, vms, membership, getLive } = await startMembership(context, ['b:1', 'c:1']);
  vms.isUnavailable = true;
  await clock.advanceBy(3_600_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
  assert.ok(membership.getCounters().failedPolls < 100);
  vms.isUnavailable = false;
  vms.vms = [makeVm('b:1')];
  await clock.advanceBy(90_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('an empty list is ignored', async (context) => {
  // Guards against every node considering itself the home of all shards: by a fault of the
  // platform, the list is empty for some time.
  const { clock, vms, getLive } = await startMembership(context, ['b:1']);
  vms.vms = [];
  await clock.advanceBy(10_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('a killed peer is excluded before the list drops it, and a single failure is not enough', async (context) => {
  // Guards against requests that each wait for a failure of the dead home until the list catches
  // up: peer b is killed while the list still contains it.
  const { membership, getLive } = await startMembership(context, ['b:1', 'c:1']);
  membership.recordFailure('b:1');
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
  membership.recordFailure('b:1');
  assert.deepEqual(getLive(), ['a:1', 'c:1']);
});

test('an overloaded peer that completes some exchanges is not suspected', async (context) => {
  const { membership, getLive } = await startMembership(context, ['b:1']);
  for (let round = 0; round < 50; round += 1) {
    membership.recordFailure('b:1');
    membership.recordContact('b:1');
  }
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('suspicion expires by itself, doubles while it recurs, and stays bounded', async (context) => {
  // Guards against a flapping peer that fails a few requests every second indefinitely, as with
  // suspicions of fixed length, and against a recovered peer that is never used again, as without
  // expiry. The peer fails whenever it is tried.
  const { clock, membership, getLive } = await startMembership(context, ['b:1']);
  membership.recordFailure('b:1');
  const lengths: number[] = [];
  for (let round = 0; round < 8; round += 1) {
    const startMs = clock.getMonotonicTime();
    membership.recordFailure('b:1');
    while (!getLive().includes('b:1')) await clock.advanceBy(100);
    lengths.push(Math.round((clock.getMonotonicTime() - startMs) / 1000));
  }
  assert.deepEqual(lengths, [1, 2, 4, 8, 16, 30, 30, 30]);
});

test('a peer that stayed in contact as long as it was suspected is fully cleared', async (context) => {
  const { clock, membership, getLive } = await startMembership(context, ['b:1']);
  membership.recordFailure('b:1');
  membership.recordFailure('b:1');
  await clock.advanceBy(1000);
  membership.recordContact('b:1');
  await clock.advanceBy(1000);
  membership.recordContact('b:1');
  membership.recordFailure('b:1');
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('contact and failures that arrive during a suspicion do not move its end', async (context) => {
  // Guards against a live set that changes many times a second, with placement recomputed each
  // time: requests that were in progress when the peer failed end late, some successfully, some
  // not, and must not count as new evidence.
  const { clock, membership, getLive } = await startMembership(context, ['b:1']);
  membership.recordFailure('b:1');
  membership.recordFailure('b:1');
  membership.recordContact('b:1');
  membership.recordFailure('b:1');
  await clock.advanceBy(999);
  assert.deepEqual(getLive(), ['a:1']);
  await clock.advanceBy(1);
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('a peer that shuts down is excluded immediately, and its address can be used again', async (context) => {
  // Guards against requests that are refused as "leaving", and against a VM restarted at the same
  // address that stays idle: b announces its shutdown and stops, and a new process starts there
  // without a change of the list. The notice takes effect immediately and expires.
  const { clock, vms, membership, getLive } = await startMembership(context, ['b:1', 'c:1']);
  membership.recordShutdown('b:1');
  assert.deepEqual(getLive(), ['a:1', 'c:1']);
  await clock.advanceBy(10_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
  vms.vms = [makeVm('b:1', VmState.Leaving), makeVm('c:1')];
  await clock.advanceBy(4000);
  assert.deepEqual(getLive(), ['a:1', 'c:1']);
});

test('a node that starts while the list is unavailable uses its seeds until the list is read', async () => {
  // Guards against a VM replaced during an outage of the platform that never becomes ready: with
  // peers from the list only, it has none to fetch the configuration from.
  const clock = new ManualClock();
  const vms = new FakeVmList();
  vms.isUnavailable = true;
  vms.vms = [makeVm('d:1')];
  const self = { address: SELF, failureDomain: 'north' };
  const random = new SeededRandom(1);
  const seeds = ['c:1', 'b:1', SELF];
  const membership = new ListedMembershipService({ self, vms, clock, random, seeds });
  const getLive = () => membership.getLiveNodes().map((node) => node.address);
  const abort = new AbortController();
  const done = membership.run(abort.signal);
  await clock.advanceBy(10_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
  vms.isUnavailable = false;
  await clock.advanceBy(90_000);
  assert.deepEqual(getLive(), ['a:1', 'd:1']);
  abort.abort();
  await done;
  membership.dispose();
});

test('onDidChange fires only when the live set differs', async (context) => {
  const { clock, membership } = await startMembership(context, ['b:1']);
  let fired = 0;
  membership.onDidChange(() => (fired += 1));
  await clock.advanceBy(60_000);
  assert.equal(fired, 0);
  membership.recordShutdown('b:1');
  assert.equal(fired, 1);
});

test('in a large fleet each node reads the list less often', async (context) => {
  // Guards against a platform that refuses reads of all nodes: with an interval that ignores the
  // size of the fleet, 2,100 nodes would each read a list of 2,100 entries every 2 s.
  const addresses = Array.from({ length: 2100 }, (_, index) => `b:${index}`);
  const { clock, membership } = await startMembership(context, addresses);
  const before = membership.getCounters().polls;
  await clock.advanceBy(3_600_000);
  const perSecond = ((membership.getCounters().polls - before) * 2100) / 3600;
  assert.ok(perSecond > 50 && perSecond < 70, `${perSecond} reads a second`);
});
