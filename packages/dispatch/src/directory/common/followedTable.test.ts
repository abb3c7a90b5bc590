import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, readInstant } from '@parsleymux/base';
import { makeCatalog, makeRoute, makeTarget } from '../../test/builders.js';
import { FollowedTable } from './followedTable.js';
import { FollowerRole } from './followerRole.js';
import { NodeDirectory } from './nodeDirectory.js';

function makeTable(clock = new ManualClock()): FollowedTable<string> {
  return new FollowedTable<string>({ name: 't', clock, isSame: (left, right) => left === right });
}

test('changes apply only where none is missing, and never move backwards', () => {
  // Symptom: a target that left is granted again. Sequence: a whole copy that was read before the
  // change arrives after it. Cause: the order of arrival was taken for the order of versions.
  const table = makeTable();
  assert.equal(table.apply(0, { version: 5, changes: [] }, 0), false);
  table.setAll({ version: 5, changes: [{ key: 'a', value: '1' }] }, 0);
  assert.equal(table.apply(7, { version: 8, changes: [] }, 0), false);
  assert.equal(table.apply(5, { version: 8, changes: [{ key: 'a', value: undefined }] }, 0), true);
  table.setAll({ version: 6, changes: [{ key: 'a', value: '1' }] }, 0);
  assert.equal(table.apply(4, { version: 7, changes: [{ key: 'a', value: '1' }] }, 0), true);
  assert.deepEqual(table.listValues(), []);
  assert.equal(table.version, 8);
});

test('recent changes bring a peer up to date that missed some updates, and no other', async () => {
  const clock = new ManualClock();
  const table = makeTable(clock);
  table.setAll({ version: 1, changes: [{ key: 'a', value: '1' }] }, 0);
  const behind = makeTable(clock);
  behind.setAll({ version: 1, changes: [{ key: 'a', value: '1' }] }, 0);
  table.apply(1, { version: 4, changes: [{ key: 'b', value: '2' }] }, 0);
  const early = table.listRecent();
  assert.equal(behind.apply(early.after, early.content, 0), true);
  assert.equal(behind.get('b'), '2');
  await clock.advanceBy(60_000);
  table.apply(4, { version: 9, changes: [{ key: 'c', value: '3' }] }, 0);
  const tooFar = makeTable(clock);
  tooFar.setAll({ version: 1, changes: [] }, 0);
  const late = table.listRecent();
  assert.equal(tooFar.apply(late.after, late.content, 0), false);
});

test('a configuration in force is never replaced by an older one', () => {
  const directory = new NodeDirectory(new ManualClock());
  const newer = makeCatalog(9, [makeRoute()]);
  directory.catalog.setAll({ version: 4, changes: [{ key: 'config', value: newer }] }, 0);
  const older = makeCatalog(7, []);
  directory.catalog.setAll({ version: 5, changes: [{ key: 'config', value: older }] }, 0);
  assert.equal(directory.getCatalog()?.version, 9);
});

test('silence of the first follower makes the second take over, its return makes that one step back', () => {
  // Symptom: nodes send work to a target that drained seconds ago. Sequence: the node that reads
  // the store for its failure domain dies. Cause: nobody notices that updates have stopped.
  const clock = new ManualClock();
  const rankFollowers = (): readonly string[] => ['a', 'b', 'c'];
  const second = new FollowerRole({ clock, self: 'b', rankFollowers });
  const third = new FollowerRole({ clock, self: 'c', rankFollowers });
  assert.equal(second.hasToRead(1000), false);
  assert.equal(second.hasToRead(1200), true);
  assert.equal(third.hasToRead(1200), false);
  assert.equal(third.hasToRead(1350), true);
  assert.equal(second.isFollower(), true);
  second.recordUpdate('c');
  assert.equal(second.isFollower(), true);
  second.recordUpdate('a');
  assert.equal(second.isFollower(), false);
});

test('an update that is repeated leaves an entry that changed twice as it is', () => {
  // Symptom: nodes grant a target that leaves, 2 s and more after they knew. Sequence: a target
  // registers and soon reports that it leaves; updates carry both changes, and arrive again and
  // again. Cause: the older of the two differed from what was known and the newer did not, so only
  // the older was taken.
  const table = makeTable();
  const isLeaving = [
    { key: 'a', value: 'ready' },
    { key: 'a', value: 'leaving' },
  ];
  table.setAll({ version: 1, changes: [] }, 0);
  assert.equal(table.apply(1, { version: 3, changes: isLeaving }, 0), true);
  assert.equal(table.get('a'), 'leaving');
  assert.equal(table.apply(1, { version: 3, changes: isLeaving }, 0), true);
  assert.equal(table.get('a'), 'leaving');
  assert.equal(table.apply(1, { version: 4, changes: isLeaving }, 0), true);
  assert.equal(table.get('a'), 'leaving');
});

test('an update that is repeated leaves the copy fresher and nothing else changed', () => {
  const table = makeTable();
  table.setAll({ version: 1, changes: [] }, 0);
  let events = 0;
  table.onDidChange(() => {
    events += 1;
  });
  const changes = [{ key: 'a', value: 'ready' }];
  table.apply(1, { version: 2, changes }, 10);
  table.apply(1, { version: 2, changes }, 20);
  assert.equal(events, 1);
  assert.equal(table.freshMs, 20);
});

test('weak VMs follow last and are home to nothing', () => {
  // Symptom: the nodes of a failure domain read the store one by one. Sequence: its follower has a
  // link of 7 Mbit/s and is late with its updates. Cause: followers and homes were chosen without
  // regard to what their VM can carry.
  const directory = new NodeDirectory(new ManualClock());
  const changes = Array.from({ length: 9 }, (_, index) => {
    const address = `10.0.0.${index}:1`;
    const capacity = index < 4 ? 0.1 : 1;
    const value = {
      address,
      capacity,
      failureDomain: 'north',
      stateAddress: address,
      incarnation: 1,
    };
    return { key: address, value };
  });
  directory.members.setAll({ version: 1, changes }, 0);
  const weak = changes.slice(0, 4).map(({ key }) => key);
  const followers = directory.rankFollowers('north');
  assert.equal(followers.length, 9);
  assert.deepEqual([...followers.slice(-4)].sort(), weak);
  for (const service of ['a', 'b', 'c', 'd', 'e', 'f']) {
    assert.ok(directory.rankHomes(service).every((home) => !weak.includes(home)));
  }
});

test('what a former life of a target says of itself comes too late once the next is known', () => {
  // Symptom: a target that has just started again gets no work, and later requests at an address
  // that it left. Sequence: it reports its drain, the answer is lost, it starts anew; the store then
  // carries the first call out. Cause: the newest version of a row was taken for the newest life.
  const directory = new NodeDirectory(new ManualClock());
  const { targets } = directory;
  const first = makeTarget('t1', { bornMs: 1000 });
  const second = makeTarget('t1', { bornMs: 2000, address: '127.0.0.1:7777' });
  targets.setAll({ version: 1, changes: [{ key: 't1', value: first }] }, 0);
  targets.apply(1, { version: 2, changes: [{ key: 't1', value: second }] }, 0);
  const late = { ...first, isDraining: true };
  targets.apply(2, { version: 3, changes: [{ key: 't1', value: late }] }, 0);
  assert.deepEqual(targets.get('t1'), second);
  targets.apply(3, { version: 4, changes: [{ key: 't1', value: undefined }] }, 0);
  assert.equal(targets.get('t1'), undefined);
});

const GRACE = { missingMs: 2000, removedMs: 6000 };

function makeRestorable(clock: ManualClock): FollowedTable<string> {
  return new FollowedTable<string>({
    name: 't',
    clock,
    isSame: (left, right) => left === right,
    isOutdated: (known, next) => known === 'leaving' && next === 'ready',
    restoreGrace: GRACE,
  });
}

test('a copy of a newer era is taken though its version is lower, and late ones of the former era are not', () => {
  // Guards against versions that are compared although the store has given them out again.
  const table = makeTable();
  table.setAll({ era: 1, version: 90, changes: [{ key: 'a', value: '1' }] }, 0);
  assert.equal(table.apply(90, { era: 2, version: 91, changes: [] }, 0), false);
  table.setAll({ era: 2, version: 70, changes: [{ key: 'a', value: '2' }] }, 5);
  assert.equal(table.version, 70);
  assert.equal(table.freshMs, 5);
  table.setAll({ era: 1, version: 95, changes: [{ key: 'a', value: '3' }] }, 9);
  assert.equal(
    table.apply(70, { era: 1, version: 96, changes: [{ key: 'a', value: '3' }] }, 9),
    true,
  );
  assert.equal(table.get('a'), '2');
  assert.equal(
    table.apply(70, { era: 2, version: 71, changes: [{ key: 'a', value: '4' }] }, 9),
    true,
  );
  assert.equal(table.get('a'), '4');
});

test('a peer whose copy is of the former era is not given changes, but the whole table', () => {
  const clock = new ManualClock();
  const [table, peer] = [makeTable(clock), makeTable(clock)];
  for (const one of [table, peer]) one.setAll({ era: 1, version: 90, changes: [] }, 0);
  table.setAll({ era: 2, version: 80, changes: [{ key: 'a', value: '1' }] }, 0);
  table.apply(80, { era: 2, version: 92, changes: [{ key: 'b', value: '1' }] }, 0);
  const { after, content } = table.listRecent();
  assert.equal(peer.apply(after, content, 0), false);
  const { after: mine, content: own } = peer.listRecent();
  assert.equal(table.apply(mine, own, 0), true);
  assert.equal(table.version, 92);
});

test('what an older copy undoes stays done: a target that leaves, and one that is gone', async () => {
  // Guards against requests for a target that has said that it leaves, or that has left.
  const clock = new ManualClock();
  const table = makeRestorable(clock);
  const older = [
    { key: 'a', value: 'ready' },
    { key: 'b', value: 'ready' },
  ];
  table.setAll({ era: 1, version: 80, changes: older }, 0);
  const lost = [
    { key: 'a', value: 'leaving' },
    { key: 'b', value: undefined },
  ];
  table.apply(80, { era: 1, version: 90, changes: lost }, 0);
  table.setAll({ era: 2, version: 80, changes: older }, 0);
  table.setAll({ era: 2, version: 80, changes: older }, 0);
  assert.equal(table.get('a'), 'leaving');
  assert.equal(table.get('b'), undefined);
  assert.deepEqual(table.listWithheld(), ['b']);
  assert.ok(table.isRetaining, 'also after the authority was read again');
  // What lives is written about, or the store itself removes it in that time.
  await clock.advanceBy(GRACE.removedMs);
  table.apply(80, { era: 2, version: 81, changes: [] }, 0);
  assert.equal(table.get('b'), 'ready');
});

test('an entry that an older copy lacks stays until it is written again, or its time is over', async () => {
  // Guards against targets and nodes that are dropped for the moment until they register again.
  const clock = new ManualClock();
  const table = makeRestorable(clock);
  const entries = ['a', 'b'].map((key) => ({ key, value: 'ready' }));
  table.setAll({ era: 1, version: 90, changes: entries }, 0);
  table.setAll({ era: 2, version: 80, changes: [] }, 0);
  assert.ok(table.isMissing('a') && table.get('a') === 'ready');
  table.apply(80, { era: 2, version: 81, changes: [{ key: 'a', value: 'ready' }] }, 0);
  await clock.advanceBy(GRACE.missingMs);
  table.apply(81, { era: 2, version: 82, changes: [] }, 0);
  assert.equal(table.isMissing('a'), false);
  assert.deepEqual(table.listValues(), ['ready']);
});

test('a moment of another era proves nothing', () => {
  const clock = new ManualClock();
  const table = makeTable(clock);
  table.setAll({ era: 2, version: 70, changes: [] }, 0);
  table.recordProof({ version: 60, era: 1 }, readInstant(clock));
  assert.equal(table.getProofAgeMs(), Infinity);
  table.recordProof({ version: 70, era: 2 }, readInstant(clock));
  assert.equal(table.getProofAgeMs(), 0);
});
