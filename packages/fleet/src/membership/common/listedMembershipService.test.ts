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
  isOut = false;

  override list(): Promise<readonly IVm[]> {
    if (!this.isOut) return Promise.resolve(this.vms);
    return Promise.reject(new PlatformError(PlatformFailure.Unknown, 'list is out'));
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

test('the live set is the listed one, sorted, and always holds this node', async (context) => {
  const { getLive } = await startMembership(context, ['c:1', 'b:1']);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
});

test('while the list is out the last one stays in force, and it is asked for ever more rarely', async (context) => {
  // Symptom: nodes lose all their peers when the platform is down, or it is met by a wave of
  // polls when it returns. Sequence: the list is read, then fails for an hour.
  // Cause: a failed read taken for an empty list; polls at a fixed rate.
  const { clock, vms, membership, getLive } = await startMembership(context, ['b:1', 'c:1']);
  vms.isOut = true;
  await clock.advanceBy(3_600_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
  assert.ok(membership.getCounters().failedPolls < 100);
  vms.isOut = false;
  vms.vms = [makeVm('b:1')];
  await clock.advanceBy(90_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('an empty list is not believed', async (context) => {
  // Symptom: every node takes itself for home of everything. Sequence: the platform answers with
  // an empty list for a while. Cause: a fault of the platform taken for the truth.
  const { clock, vms, getLive } = await startMembership(context, ['b:1']);
  vms.vms = [];
  await clock.advanceBy(10_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1']);
});

test('a killed peer is left out before the list drops it, and a single failure is not enough', async (context) => {
  // Symptom: each request to the dead home waits for a failure first, until the list catches up.
  // Sequence: peer b is killed; the list still shows it. Cause: own experience not used.
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
  // Symptom: a flapping peer takes a few requests down with it every second, for ever; or one
  // that is back is never used again. Sequence: the peer fails whenever it is tried.
  // Cause: suspicion of fixed length, or without expiry.
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

test('a peer that stayed in contact as long as it was suspected is fully trusted again', async (context) => {
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
  // Symptom: the live set changes many times a second and placement is recomputed each time.
  // Sequence: requests that were under way when the peer failed end late, some well, some badly.
  // Cause: each late outcome taken as news.
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

test('a leaving peer gets nothing new at once, and its address can be used again', async (context) => {
  // Symptom: requests are refused as "leaving", or a VM restarted at the same address idles.
  // Sequence: b says that it is leaving and stops; a new process starts there; the list never
  // noticed. Cause: waiting for the list, or remembering the word for ever.
  const { clock, vms, membership, getLive } = await startMembership(context, ['b:1', 'c:1']);
  membership.recordShutdown('b:1');
  assert.deepEqual(getLive(), ['a:1', 'c:1']);
  await clock.advanceBy(10_000);
  assert.deepEqual(getLive(), ['a:1', 'b:1', 'c:1']);
  vms.vms = [makeVm('b:1', VmState.Leaving), makeVm('c:1')];
  await clock.advanceBy(4000);
  assert.deepEqual(getLive(), ['a:1', 'c:1']);
});

test('a node that starts while the list is out knows its seeds, until the list is read', async () => {
  // Symptom: a VM replaced during an outage of the platform never becomes ready.
  // Sequence: the platform is out; a node starts; it asks peers for the configuration.
  // Cause: peers known from the list only.
  const clock = new ManualClock();
  const vms = new FakeVmList();
  vms.isOut = true;
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
  vms.isOut = false;
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

test('in a large fleet each node reads the list more rarely', async (context) => {
  // Symptom: the platform refuses reads of everyone. Sequence: the fleet grows to 2,100 nodes,
  // each reading a list of 2,100 entries every 2 s. Cause: an interval that ignores the fleet.
  const addresses = Array.from({ length: 2100 }, (_, index) => `b:${index}`);
  const { clock, membership } = await startMembership(context, addresses);
  const before = membership.getCounters().polls;
  await clock.advanceBy(3_600_000);
  const perSecond = ((membership.getCounters().polls - before) * 2100) / 3600;
  assert.ok(perSecond > 50 && perSecond < 70, `${perSecond} reads a second`);
});
