import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@parsleymux/base';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import { FakeTable, TableFault } from '../../test/fakeTable.js';
import type { IRowResult } from './groupCommitter.js';
import { GroupCommitter } from './groupCommitter.js';

const GROUP_MS = 2;

interface IFixture {
  readonly clock: ManualClock;
  readonly table: FakeTable;
  readonly committer: GroupCommitter;
}

function makeFixture(): IFixture {
  const clock = new ManualClock();
  const table = new FakeTable({ clock });
  return { clock, table, committer: new GroupCommitter({ table, clock, groupMs: GROUP_MS }) };
}

async function commitAll(
  fixture: IFixture,
  changes: readonly (readonly [key: string, expectedVersion: number])[],
): Promise<readonly IRowResult[]> {
  const results = Promise.all(
    changes.map(([key, expectedVersion], index) =>
      fixture.committer.commit({ key, expectedVersion, value: `value ${index}` }),
    ),
  );
  await fixture.clock.advanceBy(100);
  return results;
}

test('changes that come together are one transaction', async () => {
  const fixture = makeFixture();
  const results = await commitAll(fixture, [
    ['x', 0],
    ['y', 0],
    ['z', 0],
  ]);
  assert.deepEqual(
    results.map(({ committed }) => committed),
    [true, true, true],
  );
  assert.equal(fixture.table.transactions, 1);
});

test('a condition that fails does not fail the others of its group', async () => {
  // Symptom: a burst of bookings was refused. Sequence: one of them was a retry whose row
  // existed; the transaction that carried all of them failed. Cause: its conditions stand or
  // fall together.
  const fixture = makeFixture();
  await commitAll(fixture, [['y', 0]]);
  const results = await commitAll(fixture, [
    ['x', 0],
    ['y', 0],
    ['z', 0],
  ]);
  assert.deepEqual(
    results.map(({ committed }) => committed),
    [true, false, true],
  );
  assert.equal(results[1]?.row?.value, 'value 0');
});

test('a row that is expected and missing does not fail the others of its group', async () => {
  const fixture = makeFixture();
  const results = await commitAll(fixture, [
    ['x', 0],
    ['swept', 3],
    ['z', 0],
  ]);
  assert.deepEqual(results, [
    { committed: true, row: undefined },
    { committed: false, row: undefined },
    { committed: true, row: undefined },
  ]);
});

test('of two claims of one row in one group only one wins', async () => {
  // Symptom: a key ran twice. Sequence: two requests with it arrived within one interval and
  // shared a transaction; both conditions held, both were told that they won. Cause: the
  // conditions of a transaction are checked before any of its writes.
  const fixture = makeFixture();
  const results = await commitAll(fixture, [
    ['x', 0],
    ['x', 0],
    ['y', 0],
  ]);
  assert.deepEqual(
    results.map(({ committed }) => committed),
    [true, false, true],
  );
});

test('a lost answer is an unknown outcome for every change of the group', async () => {
  const fixture = makeFixture();
  fixture.table.chooseFault = () => TableFault.LoseResponse;
  const commits = ['x', 'y'].map((key) =>
    fixture.committer.commit({ key, expectedVersion: 0, value: key }),
  );
  const settled = Promise.allSettled(commits);
  await fixture.clock.advanceBy(100);
  for (const result of await settled) {
    assert.equal(result.status, 'rejected');
    assert.ok(result.reason instanceof PlatformError);
    assert.equal(result.reason.failure, PlatformFailure.Unknown);
  }
});

test('while the store is slow, groups grow instead of calls', async () => {
  const clock = new ManualClock();
  const table = new FakeTable({ clock, latencyMs: 1000 });
  const committer = new GroupCommitter({ table, clock, groupMs: GROUP_MS, maxInFlight: 2 });
  const commits = [];
  for (let index = 0; index < 50; index++) {
    commits.push(committer.commit({ key: `key ${index}`, expectedVersion: 0, value: '' }));
    await clock.advanceBy(GROUP_MS + 1);
  }
  await clock.advanceBy(5000);
  await Promise.all(commits);
  assert.equal(table.transactions, 3);
});
