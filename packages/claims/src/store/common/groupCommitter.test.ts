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

test('concurrent changes are committed in one transaction', async () => {
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

test('a failed condition does not fail the other changes of its group', async () => {
  // Guards against one retry failing a burst of requests: its row exists already, and the
  // transaction that contains all of them is committed only if every condition holds.
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

test('a missing row does not fail the other changes of its group', async () => {
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

test('only one of two claims of the same row wins when they arrive together', async () => {
  // Guards against a key that runs twice: two requests with it arrive within one interval, share
  // a transaction, and both win, because conditions are checked before any of the writes.
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

test('a lost response is an unknown outcome for every change of the group', async () => {
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

test('while the store is slow, groups grow instead of the number of transactions', async () => {
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
