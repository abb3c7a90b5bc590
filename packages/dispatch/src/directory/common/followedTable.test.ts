import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, readInstant } from '@parsleymux/base';
import { makeCatalog } from '../../test/builders.js';
import { makeRoute, makeTarget } from '@parsleymux/scheduling/testing';
import { FollowedTable } from './followedTable.js';
import { FollowerRole } from './followerRole.js';
import { NodeDirectory } from './nodeDirectory.js';

function makeTable(clock = new ManualClock()): FollowedTable<string> {
  return new FollowedTable<string>({ name: 't', clock, isSame: (left, right) => left === right });
}

test('changes apply only if none is missing, and never go back to an older version', () => {
  // Guards against granting a removed target again when a whole copy that was read before the removal
  // arrives after it.
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

test('recent changes update a peer that missed few updates, but not one that missed more', async () => {
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

test('the second follower takes over when updates stop, and stops when the first one sends again', () => {
  // Guards against outdated tables, and so requests to drained targets, after the node that reads the store
  // for its failure domain crashed.
  const clock = new ManualClock();
  const rankFollowers = (): readonly string[] => ['a', 'b', 'c'];
  const second = new FollowerRole({ clock, self: 'b', rankFollowers });
  const third = new FollowerRole({ clock, self: 'c', rankFollowers });
  assert.equal(second.hasToRead(1000), false);
  assert.equal(second.hasToRead(1200), true);
  assert.equal(third.hasToRead(1200), false);
  assert.equal(third.hasToRead(1350), true);
  assert.equal(second.isFollower(), true);
  second.recordUpdate('c', true);
  assert.equal(second.isFollower(), true);
  second.recordUpdate('a', false);
  assert.equal(second.isFollower(), true);
  second.recordUpdate('a', true);
  assert.equal(second.isFollower(), false);
});

test('a repeated update does not change an entry that changed twice', () => {
  // Guards against granting a draining target: repeated updates contain its registration and its drain, and
  // only the older of the two changes differs from the known value.
  const table = makeTable();
  const bothChanges = [
    { key: 'a', value: 'ready' },
    { key: 'a', value: 'leaving' },
  ];
  table.setAll({ version: 1, changes: [] }, 0);
  assert.equal(table.apply(1, { version: 3, changes: bothChanges }, 0), true);
  assert.equal(table.get('a'), 'leaving');
  assert.equal(table.apply(1, { version: 3, changes: bothChanges }, 0), true);
  assert.equal(table.get('a'), 'leaving');
  assert.equal(table.apply(1, { version: 4, changes: bothChanges }, 0), true);
  assert.equal(table.get('a'), 'leaving');
});

test('a repeated update only makes the copy more recent', () => {
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

test('small VMs are ranked last as followers and are never homes', () => {
  // Guards against a follower with a slow link (7 Mbit/s): its updates are late, and the nodes of its failure
  // domain read the store themselves.
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
  const small = changes.slice(0, 4).map(({ key }) => key);
  const followers = directory.rankFollowers('north');
  assert.equal(followers.length, 9);
  assert.deepEqual([...followers.slice(-4)].sort(), small);
  for (const service of ['a', 'b', 'c', 'd', 'e', 'f']) {
    assert.ok(directory.rankHomes(service).every((home) => !small.includes(home)));
  }
});

test('a late write of a former incarnation of a target is ignored', () => {
  // Guards against a restarted target that gets no requests, or gets them at its former address. The response
  // to its drain is lost, the target restarts, and only then does the store carry out the drain.
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

test('a copy of a newer epoch applies despite a lower version, late ones of the former epoch do not', () => {
  // Guards against comparing versions that a restored store assigned a second time.
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

test('a peer with a copy of the former epoch has to fetch the whole table', () => {
  const clock = new ManualClock();
  const [table, peer] = [makeTable(clock), makeTable(clock)];
  for (const one of [table, peer]) one.setAll({ era: 1, version: 90, changes: [] }, 0);
  table.setAll({ era: 2, version: 80, changes: [{ key: 'a', value: '1' }] }, 0);
  table.apply(80, { era: 2, version: 92, changes: [{ key: 'b', value: '1' }] }, 0);
  const { after, content } = table.listRecent();
  assert.equal(peer.apply(after, content, 0), false);
  const { after: peerAfter, content: peerContent } = peer.listRecent();
  assert.equal(table.apply(peerAfter, peerContent, 0), true);
  assert.equal(table.version, 92);
});

test('a restored older copy does not undo the drain of a target or its removal', async () => {
  // Guards against sending requests to a target that is draining or was removed.
  const clock = new ManualClock();
  const table = makeRestorable(clock);
  const older = [
    { key: 'a', value: 'ready' },
    { key: 'b', value: 'ready' },
  ];
  table.setAll({ era: 1, version: 80, changes: older }, 0);
  const lostChanges = [
    { key: 'a', value: 'leaving' },
    { key: 'b', value: undefined },
  ];
  table.apply(80, { era: 1, version: 90, changes: lostChanges }, 0);
  table.setAll({ era: 2, version: 80, changes: older }, 0);
  table.setAll({ era: 2, version: 80, changes: older }, 0);
  assert.equal(table.get('a'), 'leaving');
  assert.equal(table.get('b'), undefined);
  assert.deepEqual(table.listWithheld(), ['b']);
  assert.ok(table.isRetaining, 'retains entries after the authority was read again');
  // By then, live targets have been written again, and the store has removed the others.
  await clock.advanceBy(GRACE.removedMs);
  table.apply(80, { era: 2, version: 81, changes: [] }, 0);
  assert.equal(table.get('b'), 'ready');
});

test('an entry missing after a restore is kept until rewritten or its grace period ends', async () => {
  // Guards against targets and nodes that are removed until they register again.
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

test('a freshness proof of another epoch is ignored', () => {
  const clock = new ManualClock();
  const table = makeTable(clock);
  table.setAll({ era: 2, version: 70, changes: [] }, 0);
  table.recordProof({ version: 60, era: 1 }, readInstant(clock));
  assert.equal(table.getProofAgeMs(), Infinity);
  table.recordProof({ version: 70, era: 2 }, readInstant(clock));
  assert.equal(table.getProofAgeMs(), 0);
});

test('a whole copy brings back an entry that a restored authority lacked', () => {
  // Guards against a configuration that stays in force forever because a restored store lacked it for a moment.
  const clock = new ManualClock();
  const table = new FollowedTable<string>({
    name: 't',
    clock,
    isSame: (left, right) => left === right,
    restoreGrace: { missingMs: Infinity, removedMs: 0 },
  });
  table.setAll({ era: 1, version: 5, changes: [{ key: 'config', value: 'old' }] }, 0);
  table.setAll({ era: 2, version: 2, changes: [] }, 0);
  assert.equal(table.get('config'), 'old');
  const retained = [{ key: 'config', value: 'other', isMissing: true }];
  table.setAll({ era: 2, version: 3, changes: retained }, 0);
  assert.equal(table.get('config'), 'old');
  table.setAll({ era: 2, version: 7, changes: [{ key: 'config', value: 'new' }] }, 0);
  assert.equal(table.get('config'), 'new');
  assert.equal(table.isMissing('config'), false);
});

test('a value that is newer by itself is taken from an older state, which is not followed', () => {
  // Guards against a copy that is ahead of the change that it lacks, and ignores each node that has it.
  const clock = new ManualClock();
  const table = new FollowedTable<number>({
    name: 't',
    clock,
    isSame: (left, right) => left === right,
    isNewer: (known, next) => next > known,
  });
  const changed: (number | undefined)[] = [];
  table.onDidChange((changes) => changed.push(...changes.map(({ value }) => value)));
  const makeState = (era: number, version: number, value: number) => {
    return { era, version, changes: [{ key: 'k', value }] };
  };
  table.setAll(makeState(2, 150, 4), 0);
  table.setAll(makeState(2, 140, 5), 0);
  assert.equal(table.apply(130, makeState(2, 141, 6), 0), true);
  assert.equal(table.apply(130, makeState(1, 900, 7), 0), true);
  table.setAll(makeState(2, 149, 3), 0);
  assert.deepEqual(changed, [4, 5, 6, 7]);
  assert.equal(table.get('k'), 7);
  assert.deepEqual([table.era, table.version, table.ignoredStates], [2, 150, 4]);
  // Peers at the same state can't be brought up to date by changes.
  assert.equal(table.listRecent(149).after, 150);
});
